import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {StepOutcome} from './log-tail.js';
import type {ReplicatorParts, TakeStep} from './replicator-parts.js';

/** Relays that may fail before the log is tried. Two silent relays take 3.4 s of the bound of 5 s. */
const RELAYS_BEFORE_LOG_COUNT = 2;

/** Which relay is followed: the parent, or the next one after a failure. */
const createRelayChoice = ({ports: nodePorts, tree, options}: ReplicatorParts) => {
	const {clock} = nodePorts;
	let turn = 0;
	let leftParentAtMs = 0;
	let addresses = '';

	return {
		choose() {
			const relays = tree.listRelays();
			const current = relays.map(relay => relay.address).join(' ');
			if (current !== addresses || clock.monotonicMs() - leftParentAtMs > options.parentRetryMs) {
				turn = 0;
				addresses = current;
			}

			return relays[turn % Math.max(1, relays.length)];
		},
		/** Goes on to the next relay; true when it is time to try the log. */
		passOver(): boolean {
			leftParentAtMs = turn === 0 ? clock.monotonicMs() : leftParentAtMs;
			turn++;
			return turn % Math.max(1, Math.min(RELAYS_BEFORE_LOG_COUNT, tree.listRelays().length)) === 0;
		},
	};
};

/** Follows relays by rank. When none has a way to the log, reads the log now and then. */
export const createFollowerStep = (parts: ReplicatorParts): TakeStep => {
	const {feed, tail, pull, options} = parts;
	const {clock, random} = parts.ports;
	const backOff = createBackOff({random, firstMs: options.fallbackMs, limitMs: options.fallbackLimitMs});
	const choice = createRelayChoice(parts);
	let nextLogReadMs = 0;
	// The first pull does not wait, so that a node on a quiet log is ready at once.
	let isAfterFailure = true;

	const readToEnd = async (signal: AbortSignal): Promise<StepOutcome> => {
		const outcome = await tail.readOnce(0, signal);
		return outcome === StepOutcome.Behind ? readToEnd(signal) : outcome;
	};

	const fallBackToLog = async (signal: AbortSignal): Promise<StepOutcome> => {
		feed.setFreshness(ports.RelayFreshness.Stale);
		const isTurn = clock.monotonicMs() >= nextLogReadMs;
		const outcome = isTurn ? await readToEnd(signal) : StepOutcome.Failed;
		if (outcome === StepOutcome.CaughtUp) {
			backOff.reset();
			feed.setFreshness(ports.RelayFreshness.Relayed);
		}

		nextLogReadMs = isTurn ? clock.monotonicMs() + backOff.nextMs() : nextLogReadMs;

		await clock.sleep(options.retryMs * (0.5 + random.fraction()), signal);
		return outcome;
	};

	const chooseWaitMs = (): number => {
		if (isAfterFailure) {
			return 0;
		}

		return feed.freshness() === ports.RelayFreshness.Stale ? options.stalePullWaitMs : options.pullWaitMs;
	};

	const acceptRelay = (outcome: StepOutcome): StepOutcome => {
		// A pause that grew in an outage must not delay the first read after the next failure.
		backOff.reset();
		nextLogReadMs = 0;
		if (outcome === StepOutcome.CaughtUp) {
			feed.setFreshness(ports.RelayFreshness.Relayed);
		}

		return outcome;
	};

	return async signal => {
		const relay = choice.choose();
		if (!relay) {
			return fallBackToLog(signal);
		}

		const {outcome, freshness} = await pull.pullOnce(relay, chooseWaitMs(), signal);
		isAfterFailure = outcome === StepOutcome.Failed;
		if (outcome === StepOutcome.Gap) {
			return outcome;
		}

		if (!isAfterFailure && freshness !== ports.RelayFreshness.Stale) {
			return acceptRelay(outcome);
		}

		return choice.passOver() ? fallBackToLog(signal) : outcome;
	};
};

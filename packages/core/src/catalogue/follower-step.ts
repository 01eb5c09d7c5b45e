import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {StepOutcome} from './log-tail.js';
import type {ReplicatorParts, ReplicationStep} from './replicator-parts.js';

/**
 * Relays that may fail before the log is read instead. Two unresponsive relays delay an edit by 3.4 s, under the bound of
 * 5 s.
 */
const RELAYS_BEFORE_LOG_COUNT = 2;

/**
 * Selects the relay to follow: the parent, or the next relay by rank after a failure. Returns to the parent after
 * `parentRetryMs`, or when the relays change.
 */
const createRelaySelector = ({ports: nodePorts, tree, options}: ReplicatorParts) => {
	const {clock} = nodePorts;
	let relayIndex = 0;
	let leftParentAtMs = 0;
	let previousAddresses = '';

	return {
		selectRelay() {
			const relays = tree.listRelays();
			const currentAddresses = relays.map(relay => relay.address).join(' ');
			if (currentAddresses !== previousAddresses || clock.monotonicMs() - leftParentAtMs > options.parentRetryMs) {
				relayIndex = 0;
				previousAddresses = currentAddresses;
			}

			return relays[relayIndex % Math.max(1, relays.length)];
		},
		/** Advances to the next relay. Returns whether the log should be read before that relay is tried. */
		advance(): boolean {
			leftParentAtMs = relayIndex === 0 ? clock.monotonicMs() : leftParentAtMs;
			relayIndex++;
			return relayIndex % Math.max(1, Math.min(RELAYS_BEFORE_LOG_COUNT, tree.listRelays().length)) === 0;
		},
	};
};

/** Follows relays by rank. When they fail or are stale, reads the log itself, with backoff between the reads. */
export const createFollowerStep = (parts: ReplicatorParts): ReplicationStep => {
	const {feed, tail, pull, options} = parts;
	const {clock, random} = parts.ports;
	const backOff = createBackOff({random, firstMs: options.fallbackMs, limitMs: options.fallbackLimitMs});
	const selector = createRelaySelector(parts);
	let nextLogReadAtMs = 0;
	// The first pull does not wait for a record, so that a node becomes ready at once when no edits are made.
	let isAfterFailure = true;

	const readToEnd = async (signal: AbortSignal): Promise<StepOutcome> => {
		const outcome = await tail.readOnce(0, signal);
		return outcome === StepOutcome.Behind ? readToEnd(signal) : outcome;
	};

	const fallBackToLog = async (signal: AbortSignal): Promise<StepOutcome> => {
		feed.setFreshness(ports.RelayFreshness.Stale);
		const isLogReadDue = clock.monotonicMs() >= nextLogReadAtMs;
		const outcome = isLogReadDue ? await readToEnd(signal) : StepOutcome.Failed;
		if (outcome === StepOutcome.CaughtUp) {
			backOff.reset();
			feed.setFreshness(ports.RelayFreshness.Relayed);
		}

		nextLogReadAtMs = isLogReadDue ? clock.monotonicMs() + backOff.nextMs() : nextLogReadAtMs;

		await clock.sleep(options.retryMs * (0.5 + random.fraction()), signal);
		return outcome;
	};

	const chooseWaitMs = (): number => {
		if (isAfterFailure) {
			return 0;
		}

		return feed.freshness() === ports.RelayFreshness.Stale ? options.stalePullWaitMs : options.pullWaitMs;
	};

	const handleFreshRelay = (outcome: StepOutcome): StepOutcome => {
		// A backoff that grew during an outage must not delay the first log read after the next failure.
		backOff.reset();
		nextLogReadAtMs = 0;
		if (outcome === StepOutcome.CaughtUp) {
			feed.setFreshness(ports.RelayFreshness.Relayed);
		}

		return outcome;
	};

	return async signal => {
		const relay = selector.selectRelay();
		if (!relay) {
			return fallBackToLog(signal);
		}

		const {outcome, freshness} = await pull.pullOnce(relay, chooseWaitMs(), signal);
		isAfterFailure = outcome === StepOutcome.Failed;
		if (outcome === StepOutcome.Gap) {
			return outcome;
		}

		if (!isAfterFailure && freshness !== ports.RelayFreshness.Stale) {
			return handleFreshRelay(outcome);
		}

		return selector.advance() ? fallBackToLog(signal) : outcome;
	};
};

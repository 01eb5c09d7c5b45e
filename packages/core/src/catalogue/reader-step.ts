import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {StepOutcome} from './log-tail.js';
import type {ReplicatorParts, TakeStep} from './replicator-parts.js';

/** Reads the log. While that fails, follows another reader that can read it. */
export const createReaderStep = ({ports: nodePorts, feed, tail, pull, tree, options}: ReplicatorParts): TakeStep => {
	const {clock, random} = nodePorts;
	const backOff = createBackOff({random, firstMs: options.retryMs, limitMs: options.retryLimitMs});
	let turn = 0;

	const followOtherReader = async (signal: AbortSignal): Promise<StepOutcome> => {
		const readers = tree.listRelays();
		const relay = readers[turn++ % Math.max(1, readers.length)];
		const pauseMs = backOff.nextMs();
		if (!relay) {
			feed.setFreshness(ports.RelayFreshness.Stale);
			await clock.sleep(pauseMs, signal);
			return StepOutcome.Failed;
		}

		const {outcome, freshness} = await pull.pullOnce(relay, pauseMs, signal);
		// Two readers without the log must not vouch for each other, so only a reader's own way to the log counts.
		const isOpen = freshness === ports.RelayFreshness.Log && outcome !== StepOutcome.Failed;
		feed.setFreshness(isOpen ? ports.RelayFreshness.Relayed : ports.RelayFreshness.Stale);
		if (outcome === StepOutcome.Failed) {
			await clock.sleep(pauseMs, signal);
		}

		return outcome;
	};

	return async signal => {
		// The first read does not wait, so that a node on a quiet log is ready at once.
		const waitMs = feed.freshness() === ports.RelayFreshness.Log ? options.readWaitMs : 0;
		const outcome = await tail.readOnce(waitMs, signal);
		if (outcome === StepOutcome.Failed) {
			return followOtherReader(signal);
		}

		backOff.reset();
		if (outcome === StepOutcome.CaughtUp) {
			feed.setFreshness(ports.RelayFreshness.Log);
		}

		return outcome;
	};
};

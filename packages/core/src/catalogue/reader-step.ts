import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {StepOutcome} from './log-tail.js';
import type {ReplicatorParts, ReplicationStep} from './replicator-parts.js';

/** Reads the log. While that fails, pulls from the other readers of the region in turn. */
export const createReaderStep = ({
	ports: nodePorts,
	feed,
	tail,
	pull,
	tree,
	options,
}: ReplicatorParts): ReplicationStep => {
	const {clock, random} = nodePorts;
	const backOff = createBackOff({random, firstMs: options.retryMs, limitMs: options.retryLimitMs});
	let relayIndex = 0;

	const pullFromOtherReader = async (signal: AbortSignal): Promise<StepOutcome> => {
		const readers = tree.listRelays();
		const relay = readers[relayIndex++ % Math.max(1, readers.length)];
		const pauseMs = backOff.nextMs();
		if (!relay) {
			feed.setFreshness(ports.RelayFreshness.Stale);
			await clock.sleep(pauseMs, signal);
			return StepOutcome.Failed;
		}

		const {outcome, freshness} = await pull.pullOnce(relay, pauseMs, signal);
		// Only a relay that reads the log itself counts as fresh. Otherwise two readers that cannot read the log could mark
		// each other as fresh.
		const isFresh = freshness === ports.RelayFreshness.Log && outcome !== StepOutcome.Failed;
		feed.setFreshness(isFresh ? ports.RelayFreshness.Relayed : ports.RelayFreshness.Stale);
		if (outcome === StepOutcome.Failed) {
			await clock.sleep(pauseMs, signal);
		}

		return outcome;
	};

	return async signal => {
		// The first read does not wait for a record, so that a node becomes ready at once when no edits are made.
		const waitMs = feed.freshness() === ports.RelayFreshness.Log ? options.readWaitMs : 0;
		const outcome = await tail.readOnce(waitMs, signal);
		if (outcome === StepOutcome.Failed) {
			return pullFromOtherReader(signal);
		}

		backOff.reset();
		if (outcome === StepOutcome.CaughtUp) {
			feed.setFreshness(ports.RelayFreshness.Log);
		}

		return outcome;
	};
};

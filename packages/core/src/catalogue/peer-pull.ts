import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {CatalogueFeed} from './catalogue-feed.js';
import type {CatalogueStore} from './catalogue-store.js';
import {StepOutcome} from './log-tail.js';

/** Result of one pull from a relay. */
export type PullResult = {readonly outcome: StepOutcome; readonly freshness: ports.RelayFreshness};

/** Pulls records from relays. */
export type PeerPull = {
	/** Pulls once and applies the records. Those of a stale relay are applied too, because the log order is the same. */
	pullOnce(relay: domain.NodeDescription, waitMs: number, signal: AbortSignal): Promise<PullResult>;
};

export const createPeerPull = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	feed: CatalogueFeed;
	limitCount: number;
	/** Longest wait for a reply beyond the wait that the pull asks for, in ms. */
	timeoutMs: number;
}): PeerPull => {
	const {store, feed, limitCount, timeoutMs} = dependencies;
	const {clock, peerClient, logger} = dependencies.ports;
	const failed = {outcome: StepOutcome.Failed, freshness: ports.RelayFreshness.Stale};

	return {
		async pullOnce(relay, waitMs, signal) {
			const fromOffset = store.appliedOffset() + 1;
			const reply = await runWithTimeout({clock, timeoutMs: waitMs + timeoutMs, signal}, async pullSignal =>
				peerClient.request(
					relay.address,
					ports.PeerMessageKind.PullRecords,
					{fromOffset, limitCount, waitMs},
					pullSignal,
				),
			);
			if (reply.isTimedOut || reply.value.isErr()) {
				logger.debug('catalogue pull failed', {relay: relay.address, isTimedOut: reply.isTimedOut});
				return failed;
			}

			const {records, nextOffset, appliedOffset, isTruncated, freshness} = reply.value.value;
			if (isTruncated) {
				return {outcome: StepOutcome.Gap, freshness};
			}

			feed.applyBatch({records, nextOffset});
			const isCaughtUp = store.appliedOffset() >= appliedOffset;
			return {outcome: isCaughtUp ? StepOutcome.CaughtUp : StepOutcome.Behind, freshness};
		},
	};
};

import * as ports from '../ports/index.js';
import type {Replica, TopicReread} from '../registry/replica.js';
import {CALL_CRITICAL_TOPICS} from '../registry/topic-ages.js';
import {createChangeNotifier} from '../shared/change-notifier.js';
import type {KnownEras} from './known-eras.js';

/** The eras of the store as a node learns of them, from the store's answers and from peers. */
export type EraTracker = {
	/** Records the era of an answer of the store. */
	record(era: number): void;
	/** Records what a peer knows, if it knows anything. */
	recordPeer(storeEra: ports.StoreEra | undefined): void;
	/** Newest known era; 0 before the first one. */
	newest(): number;
	/** How many rollbacks of the store this node has learned of. The first era that it knows of is none. */
	rollbackCount(): number;
	/** Era of a peer's message; one that older peers omit counts as the lowest known era. */
	resolve(era: number | undefined): number;
	/** Whether topics on which the handling of calls depends still have to be read in the newest era. */
	isRereading(): boolean;
	/** Whether records that a rollback of the store lost or restored may still be written again. */
	isRenewing(): boolean;
	/** Resolves at the next rollback, after a minute, or when the signal is aborted. */
	waitForRollback(signal: AbortSignal): Promise<void>;
};

export type EraTrackerOptions = {
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly knownEras: KnownEras;
	readonly replicas: {readonly [Topic in ports.RegistryTopic]: Pick<Replica<Topic>, 'era'>};
	readonly readRole: () => ports.RegistryRole;
	/** Called when a peer has shown that the present era began earlier than assumed. */
	readonly onRenewalShortened: () => void;
};

/** Longest wait for a rollback, in ms. Timers of several weeks would overflow. */
const ERA_WAIT_MS = 60_000;

export const createEraTracker = (options: EraTrackerOptions): EraTracker => {
	const {clock, logger, metrics, knownEras, replicas} = options;
	const notifier = createChangeNotifier(clock);
	let rollbackCount = 0;

	const record = ({era, ageMs}: ports.StoreEra): void => {
		const endedAtMs = knownEras.renewalEndsAtMs();
		const change = knownEras.record(era, ageMs);
		if (change) {
			metrics.set(ports.GaugeName.StoreEra, {}, era);
		}

		if (change?.previousEra !== undefined) {
			const role = options.readRole();
			logger.info('new era of the store', {event: ports.LogEvent.StoreEraChanged, ...change, ageMs, role});
			rollbackCount++;
			notifier.notifyAll();
		} else if (knownEras.renewalEndsAtMs() < endedAtMs) {
			options.onRenewalShortened();
		}
	};

	return {
		record(era) {
			record({era, ageMs: 0});
		},
		recordPeer(storeEra) {
			if (storeEra) {
				record(storeEra);
			}
		},
		newest: knownEras.newest,
		rollbackCount: () => rollbackCount,
		resolve: knownEras.resolve,
		isRereading: () => CALL_CRITICAL_TOPICS.some(topic => replicas[topic].era() < knownEras.newest()),
		isRenewing: () => knownEras.renewalEndsAtMs() > clock.monotonicMs(),
		waitForRollback: async signal => notifier.wait(ERA_WAIT_MS, signal),
	};
};

/** Logs what became of each topic when it was read anew. */
export const createRereadLog =
	(logger: ports.Logger) =>
	(reread: TopicReread): void => {
		logger.info('topic read anew in a new era of the store', {event: ports.LogEvent.TopicReread, ...reread});
	};

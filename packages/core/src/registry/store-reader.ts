import * as neverthrow from 'neverthrow';
import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import type {Registry} from './registry.js';
import {CALL_CRITICAL_TOPICS} from './topic-ages.js';

export type StoreReaderOptions = {
	readonly registry: Registry;
	readonly store: ports.RegistryStore;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
};

/** How a topic is read. */
type ReadingPlan = {
	/** How long the store may hold a read open, in ms. */
	readonly waitMs: number;
	/** Pause after each read, in ms. */
	readonly pauseMs: number;
};

/**
 * The targets' topic changes with every heartbeat, so it is polled at intervals; a planned stop of a target must be detected
 * within 2.5 s. The others change rarely and are read by long polls. A lost answer is detected only after the wait, so the
 * catalogue's wait leaves time for a second read within the 2.5 s in which a change must be in force.
 */
const READING_PLANS: Record<ports.RegistryTopic, ReadingPlan> = {
	[ports.RegistryTopic.Catalogue]: {waitMs: 1600, pauseMs: 20},
	[ports.RegistryTopic.Targets]: {waitMs: 0, pauseMs: 800},
	[ports.RegistryTopic.Nodes]: {waitMs: 10_000, pauseMs: 100},
};

/** Longest pause while records that a rollback lost are written again, so that they arrive before they go out of use. */
const RENEWAL_PAUSE_MS = 250;

/** Pauses after failed reads: short enough for a change to be in force within 2.5 s of the end of a store outage. */
const BACK_OFF = {firstMs: 200, limitMs: 1000};

type TopicRead<Topic extends ports.RegistryTopic> = neverthrow.Result<
	ports.RegistryChanges<Topic>,
	ports.RegistryError
>;

/** Reads records from the store and applies them to the registry. */
export type StoreReader = {
	/** Reads all topics until the signal is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Reads the nodes once; false when the store did not answer. */
	readNodes(signal: AbortSignal): Promise<boolean>;
	/** Reads each topic once without waiting for changes. Skips the other topics if the first read fails. */
	readOnce(signal: AbortSignal): Promise<void>;
};

export const createStoreReader = (options: StoreReaderOptions): StoreReader => {
	const {registry, store, clock, random, logger} = options;
	/** Topics whose last read failed. Kept by topic, since reads of one may hang while those of another are answered. */
	const lostTopics = new Set<ports.RegistryTopic>();

	/** Logs the first failed read of each topic and the first successful one after it. */
	const logResult = (
		topic: ports.RegistryTopic,
		error: ports.RegistryError | undefined,
		requestedAtMs: number,
	): void => {
		const isLost = error !== undefined;
		if (isLost === lostTopics.has(topic)) {
			return;
		}

		const waitedMs = Math.round(clock.monotonicMs() - requestedAtMs);
		const topicAgesMs = registry.topicAgesMs();
		if (isLost) {
			const {detail} = error;
			logger.warn('store read failed', {event: ports.LogEvent.StoreLost, topic, detail, waitedMs, topicAgesMs});
			return;
		}

		logger.info('store read succeeded again', {event: ports.LogEvent.StoreRegained, topic, waitedMs, topicAgesMs});
	};

	const recordResult = (topic: ports.RegistryTopic, isLost: boolean): void => {
		if (isLost) {
			lostTopics.add(topic);
		} else {
			lostTopics.delete(topic);
		}

		registry.setSourceLost(CALL_CRITICAL_TOPICS.some(criticalTopic => lostTopics.has(criticalTopic)));
	};

	/** An answer of an older era is late, or comes from a part of the store that is behind. */
	const refuseOlderEra = <Changes extends {readonly era: number}>(
		changes: Changes,
	): neverthrow.Result<Changes, ports.RegistryError> =>
		changes.era < registry.eras.newest()
			? neverthrow.err({
					kind: ports.RegistryErrorKind.Unavailable,
					detail: `the answer is of era ${changes.era}, and the store has been in era ${registry.eras.newest()}`,
				})
			: neverthrow.ok(changes);

	/** Whether the whole topic must be read, since the store has no records that continue the replica. */
	const needsWholeTopic = (topic: ports.RegistryTopic, read: TopicRead<ports.RegistryTopic>): boolean =>
		read.match(
			({era}) => era > registry.replicas[topic].era(),
			({kind, era = 0}) => kind === ports.RegistryErrorKind.Expired || era > registry.replicas[topic].era(),
		);

	/** Reads the changes of a topic. An open read is given up when the store goes back to an older copy. */
	const readChanges = async <Topic extends ports.RegistryTopic>(
		topic: Topic,
		waitMs: number,
		signal: AbortSignal,
	): Promise<TopicRead<Topic>> => {
		const controller = new AbortController();
		const stop = (): void => {
			controller.abort(STOP_REASON);
		};

		signal.addEventListener('abort', stop, {once: true});
		const stopAtRollback = async (): Promise<void> => {
			const count = registry.eras.rollbackCount();
			while (!controller.signal.aborted && registry.eras.rollbackCount() === count) {
				await registry.eras.waitForRollback(controller.signal);
			}

			stop();
		};

		void stopAtRollback();
		const fromOffset = registry.replicas[topic].nextOffset();
		const read = await store.readChanges(topic, {fromOffset, waitMs}, controller.signal);
		signal.removeEventListener('abort', stop);
		stop();
		return read;
	};

	/** Reads what the replica of a topic lacks: its changes, or the whole topic. */
	const readMissing = async <Topic extends ports.RegistryTopic>(
		topic: Topic,
		waitMs: number,
		signal: AbortSignal,
	): Promise<{readonly read: TopicRead<Topic>; readonly isWhole: boolean}> => {
		const replica = registry.replicas[topic];
		const isContinued = replica.nextOffset() >= 0 && replica.era() >= registry.eras.newest();
		const read = isContinued ? await readChanges(topic, waitMs, signal) : undefined;
		const isUsable = replica.era() >= registry.eras.newest();
		if (read && (signal.aborted || (isUsable && !needsWholeTopic(topic, read)))) {
			return {read, isWhole: false};
		}

		return {read: await store.readAll(topic, signal), isWhole: true};
	};

	const readTopic = async <Topic extends ports.RegistryTopic>(
		topic: Topic,
		waitMs: number,
		signal: AbortSignal,
	): Promise<boolean> => {
		const requestedAtMs = clock.monotonicMs();
		const {read: answer, isWhole} = await readMissing(topic, waitMs, signal);
		if (signal.aborted) {
			return false;
		}

		const read = answer.andThen(refuseOlderEra);
		const {era} = read.isOk() ? read.value : read.error;
		logResult(topic, read.isErr() ? read.error : undefined, requestedAtMs);
		recordResult(topic, read.isErr());
		if (era !== undefined) {
			registry.eras.record(era);
		}

		if (read.isErr()) {
			return false;
		}

		registry.apply({[topic]: {...read.value, isWhole}});
		return true;
	};

	const followTopic = async (
		topic: ports.RegistryTopic,
		recordRead: (topic: ports.RegistryTopic) => void,
		signal: AbortSignal,
	): Promise<void> => {
		const {waitMs, pauseMs} = READING_PLANS[topic];
		const backOff = createBackOff({random, ...BACK_OFF});
		let isRead = false;
		while (!signal.aborted) {
			// The first read and reads after a failure do not wait for a change, so that the topic's age is reset at once.
			isRead = await readTopic(topic, isRead ? waitMs : 0, signal);
			if (isRead) {
				recordRead(topic);
				backOff.reset();
			}

			const readPauseMs = registry.eras.isRenewing() ? Math.min(pauseMs, RENEWAL_PAUSE_MS) : pauseMs;
			await clock.sleep(isRead ? readPauseMs : backOff.nextMs(), signal);
		}
	};

	return {
		async run(signal) {
			// A loss in an earlier turn as the reader says nothing about the store now.
			lostTopics.clear();
			const readTopics = new Set<ports.RegistryTopic>();
			const recordRead = (topic: ports.RegistryTopic): void => {
				readTopics.add(topic);
				if (!signal.aborted && CALL_CRITICAL_TOPICS.every(criticalTopic => readTopics.has(criticalTopic))) {
					registry.setRole(ports.RegistryRole.Reader);
				}
			};

			registry.setRole(ports.RegistryRole.StartingReader);
			await Promise.all(Object.values(ports.RegistryTopic).map(async topic => followTopic(topic, recordRead, signal)));
		},
		readNodes: async signal => readTopic(ports.RegistryTopic.Nodes, 0, signal),
		async readOnce(signal) {
			const [first, ...others] = Object.values(ports.RegistryTopic);
			if (await readTopic(first!, 0, signal)) {
				await Promise.all(others.map(async topic => readTopic(topic, 0, signal)));
			}
		},
	};
};

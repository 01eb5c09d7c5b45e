import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

type AnyRecord = core.RegistryRecord<core.RegistryTopic> & {readonly writtenAtMs: number};

/** What happens to the reads that are open when the store goes back to an older copy. */
export enum OpenReadEnding {
	/** Their connections break. */
	Broken = 'broken',
	/** They get no answer and time out. */
	Unanswered = 'unanswered',
	/** They wait for records of the new era. */
	Continued = 'continued',
}

/** In-memory store of the platform, with one client for each node. */
export type FakeRegistryStore = {
	/** Ids of the nodes whose calls the store refuses. */
	readonly refusedNodeIds: Set<string>;
	readonly callCount: number;
	/** Era of the store, which rises by one with each rollback. */
	readonly era: number;
	/** True while the store refuses the calls of all nodes. */
	isDown: boolean;
	/** True while the store answers no call, so that all calls time out. */
	isUnresponsive: boolean;
	/** Makes those reads of the topic's changes time out that are pending at the time of the call. */
	loseOpenReads(topic: core.RegistryTopic): void;
	/** Goes back to a copy that is `ageMs` old: later records are lost, and their offsets are assigned again. */
	rollBack(ageMs: number, openReadEnding?: OpenReadEnding): void;
	/** The values of a topic by key. */
	listValues<Topic extends core.RegistryTopic>(topic: Topic): ReadonlyMap<string, core.RegistryValues[Topic]>;
	write<Topic extends core.RegistryTopic>(
		topic: Topic,
		key: string,
		value: core.RegistryValues[Topic] | undefined,
	): void;
	/** Creates the node's client of the store, whose answers are delayed by another `delayMs`. */
	createClient(nodeId: string, delayMs?: number): core.RegistryStore;
};

const POLL_INTERVAL_MS = 10;
const ANSWER_DELAY_MS = 4;

/** Time after the requested wait at which an unanswered call fails, in ms. */
const ANSWER_TIMEOUT_MS = 600;

const fail = (detail: string) =>
	neverthrow.err<never, core.RegistryError>({kind: core.RegistryErrorKind.Unavailable, detail});

type OpenRead = {readonly topic: core.RegistryTopic; ending: OpenReadEnding};

export const createFakeRegistryStore = (clock: core.Clock): FakeRegistryStore => {
	const topics = new Map<core.RegistryTopic, AnyRecord[]>();
	const listRecords = (topic: core.RegistryTopic): AnyRecord[] => {
		const records = topics.get(topic) ?? [];
		topics.set(topic, records);
		return records;
	};

	const openReads = new Set<OpenRead>();
	const endOpenReads = (reads: readonly OpenRead[], ending: OpenReadEnding): void => {
		reads.forEach(read => {
			read.ending = ending;
		});
	};

	const listNewest = (topic: core.RegistryTopic): AnyRecord[] => {
		const newestByKey = new Map(listRecords(topic).map(record => [record.key, record]));
		return [...newestByKey.values()].filter(({value}) => value !== undefined);
	};

	const store = {
		refusedNodeIds: new Set<string>(),
		callCount: 0,
		isDown: false,
		isUnresponsive: false,
		loseOpenReads(topic: core.RegistryTopic) {
			endOpenReads(
				[...openReads].filter(read => read.topic === topic),
				OpenReadEnding.Unanswered,
			);
		},
		era: 0,
		rollBack(ageMs: number, openReadEnding = OpenReadEnding.Broken) {
			const copiedAtMs = clock.monotonicMs() - ageMs;
			topics.forEach((records, topic) => {
				topics.set(
					topic,
					records.filter(({writtenAtMs}) => writtenAtMs <= copiedAtMs),
				);
			});
			store.era++;
			endOpenReads([...openReads], openReadEnding);
		},
		listValues: (topic: core.RegistryTopic) => new Map(listNewest(topic).map(({key, value}) => [key, value as never])),
		write(topic: core.RegistryTopic, key: string, value: AnyRecord['value']) {
			listRecords(topic).push({
				key,
				offset: listRecords(topic).length,
				value,
				writtenAtMs: clock.monotonicMs(),
			});
		},
	};

	const createClient = (nodeId: string, delayMs = 0): core.RegistryStore => {
		const answer = async <Value>(read: () => Value): Promise<neverthrow.Result<Value, core.RegistryError>> => {
			store.callCount++;
			if (store.isUnresponsive) {
				await clock.sleep(ANSWER_TIMEOUT_MS);
				return fail('no answer in time');
			}

			await clock.sleep(ANSWER_DELAY_MS + delayMs);
			return store.isDown || store.refusedNodeIds.has(nodeId) ? fail('refused') : neverthrow.ok(read());
		};

		return {
			async readChanges(topic, {fromOffset, waitMs}, signal) {
				const waitEndsAtMs = clock.monotonicMs() + waitMs;
				const read: OpenRead = {topic, ending: OpenReadEnding.Continued};
				openReads.add(read);
				const isWaiting = (): boolean =>
					read.ending === OpenReadEnding.Continued &&
					!store.isUnresponsive &&
					listRecords(topic).length === fromOffset &&
					clock.monotonicMs() < waitEndsAtMs;
				while (isWaiting() && !signal.aborted) {
					await clock.sleep(POLL_INTERVAL_MS, signal);
				}

				openReads.delete(read);
				if (read.ending === OpenReadEnding.Broken) {
					store.callCount++;
					return fail('connection lost');
				}

				if (store.isUnresponsive || read.ending === OpenReadEnding.Unanswered) {
					store.callCount++;
					await clock.sleep(waitEndsAtMs + ANSWER_TIMEOUT_MS - clock.monotonicMs(), signal);
					return fail('no answer in time');
				}

				const answered = await answer(() => listRecords(topic));
				return answered.andThen(records =>
					fromOffset > records.length
						? neverthrow.err({kind: core.RegistryErrorKind.Expired, detail: 'no such offset', era: store.era})
						: neverthrow.ok({
								records: records.slice(fromOffset) as never[],
								nextOffset: records.length,
								era: store.era,
							}),
				);
			},
			readAll: async topic =>
				answer(() => ({
					records: listNewest(topic) as never[],
					nextOffset: listRecords(topic).length,
					era: store.era,
				})),
			publishNode: async (node: domain.RegisteredNode) =>
				answer(() => {
					store.write(core.RegistryTopic.Nodes, node.nodeId, node);
				}),
			withdrawNode: async withdrawnId =>
				answer(() => {
					store.write(core.RegistryTopic.Nodes, withdrawnId, undefined);
				}),
		};
	};

	return Object.assign(store, {createClient});
};

import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

type AnyRecord = core.RegistryRecord<core.RegistryTopic>;

/** In-memory store of the platform, with one client for each node. */
export type FakeRegistryStore = {
	/** Ids of the nodes whose calls the store refuses. */
	readonly refusedNodeIds: Set<string>;
	readonly callCount: number;
	/** True while the store refuses the calls of all nodes. */
	isDown: boolean;
	/** True while the store answers no call, so that all calls time out. */
	isUnresponsive: boolean;
	/** Makes those reads of the topic's changes time out that are pending at the time of the call. */
	loseOpenReads(topic: core.RegistryTopic): void;
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

export const createFakeRegistryStore = (clock: core.Clock): FakeRegistryStore => {
	const topics = new Map<core.RegistryTopic, AnyRecord[]>();
	const listRecords = (topic: core.RegistryTopic): AnyRecord[] => {
		const records = topics.get(topic) ?? [];
		topics.set(topic, records);
		return records;
	};

	const lossCounts = new Map<core.RegistryTopic, number>();
	const countLosses = (topic: core.RegistryTopic): number => lossCounts.get(topic) ?? 0;

	const store = {
		refusedNodeIds: new Set<string>(),
		callCount: 0,
		isDown: false,
		isUnresponsive: false,
		loseOpenReads(topic: core.RegistryTopic) {
			lossCounts.set(topic, countLosses(topic) + 1);
		},
		write(topic: core.RegistryTopic, key: string, value: AnyRecord['value']) {
			listRecords(topic).push({key, offset: listRecords(topic).length, value});
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
				const lossCount = countLosses(topic);
				const hasNoNewRecord = (): boolean => listRecords(topic).length <= fromOffset;
				let isAnswerLost = store.isUnresponsive;
				while (!isAnswerLost && hasNoNewRecord() && clock.monotonicMs() < waitEndsAtMs && !signal.aborted) {
					await clock.sleep(POLL_INTERVAL_MS, signal);
					isAnswerLost = store.isUnresponsive || countLosses(topic) > lossCount;
				}

				if (isAnswerLost) {
					store.callCount++;
					await clock.sleep(waitEndsAtMs + ANSWER_TIMEOUT_MS - clock.monotonicMs(), signal);
					return fail('no answer in time');
				}

				return answer(() => ({
					records: listRecords(topic).slice(fromOffset) as never[],
					nextOffset: listRecords(topic).length,
				}));
			},
			readAll: async topic =>
				answer(() => {
					const newestByKey = new Map(listRecords(topic).map(record => [record.key, record]));
					const records = [...newestByKey.values()].filter(({value}) => value !== undefined);
					return {records: records as never[], nextOffset: listRecords(topic).length};
				}),
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

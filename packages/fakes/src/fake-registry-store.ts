import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

type AnyRecord = core.RegistryRecord<core.RegistryTopic>;

/** The platform's store in memory, seen from several nodes. */
export type FakeRegistryStore = {
	/** Nodes that the store refuses. */
	readonly refusedNodeIds: Set<string>;
	readonly callCount: number;
	/** True while it refuses everyone. */
	isDown: boolean;
	/** True while it leaves every call without an answer. */
	isSilent: boolean;
	/** Leaves the reads of the topic that are open now without an answer. */
	loseOpenReads(topic: core.RegistryTopic): void;
	write<Topic extends core.RegistryTopic>(
		topic: Topic,
		key: string,
		value: core.RegistryValues[Topic] | undefined,
	): void;
	/** The store as the node sees it, whose answers take `delayMs` on their way. */
	openFor(nodeId: string, delayMs?: number): core.RegistryStore;
};

const POLL_MS = 10;
const ANSWER_MS = 4;

/** Time beyond the wait that was asked for after which a call without an answer fails. */
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
		isSilent: false,
		loseOpenReads(topic: core.RegistryTopic) {
			lossCounts.set(topic, countLosses(topic) + 1);
		},
		write(topic: core.RegistryTopic, key: string, value: AnyRecord['value']) {
			listRecords(topic).push({key, offset: listRecords(topic).length, value});
		},
	};

	const openFor = (nodeId: string, delayMs = 0): core.RegistryStore => {
		const answer = async <Value>(read: () => Value): Promise<neverthrow.Result<Value, core.RegistryError>> => {
			store.callCount++;
			if (store.isSilent) {
				await clock.sleep(ANSWER_TIMEOUT_MS);
				return fail('no answer in time');
			}

			await clock.sleep(ANSWER_MS + delayMs);
			return store.isDown || store.refusedNodeIds.has(nodeId) ? fail('refused') : neverthrow.ok(read());
		};

		return {
			async readChanges(topic, {fromOffset, waitMs}, signal) {
				const untilMs = clock.monotonicMs() + waitMs;
				const lossCount = countLosses(topic);
				const hasNothing = (): boolean => listRecords(topic).length <= fromOffset;
				let isLost = store.isSilent;
				while (!isLost && hasNothing() && clock.monotonicMs() < untilMs && !signal.aborted) {
					await clock.sleep(POLL_MS, signal);
					isLost = store.isSilent || countLosses(topic) > lossCount;
				}

				if (isLost) {
					store.callCount++;
					await clock.sleep(untilMs + ANSWER_TIMEOUT_MS - clock.monotonicMs(), signal);
					return fail('no answer in time');
				}

				return answer(() => ({
					records: listRecords(topic).slice(fromOffset) as never[],
					nextOffset: listRecords(topic).length,
				}));
			},
			readAll: async topic =>
				answer(() => {
					const newest = new Map(listRecords(topic).map(record => [record.key, record]));
					const records = [...newest.values()].filter(({value}) => value !== undefined);
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

	return Object.assign(store, {openFor});
};

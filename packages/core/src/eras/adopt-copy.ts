import type * as ports from '../ports/index.js';
import {KeyState} from '../registry/key-state.js';
import {readEntryState, toFormerValue, type ReplicaEntry} from '../registry/replica-entry.js';
import {KEEPS_REMOVED_VALUE} from '../registry/topic-rules.js';
import {adoptRestoredValue} from './restored-records.js';

type Entries<Topic extends ports.RegistryTopic> = ReadonlyMap<string, ReplicaEntry<Topic>>;

export type CopyAdoption<Topic extends ports.RegistryTopic> = {
	readonly topic: Topic;
	/** Entries of the former era, and that era. */
	readonly entries: Entries<Topic>;
	readonly previousEra: number;
	/** Offset up to which the topic was read in the former era. */
	readonly previousNextOffset: number;
	/** All records of the new era. */
	readonly copy: ports.TopicChanges<Topic>;
	/** Records of the copy before this offset may have been restored. */
	readonly restoredBeforeOffset: number;
	/** Monotonic time until which lost records may be written again, in ms. */
	readonly renewalEndsAtMs: number;
	readonly nowMs: number;
};

/** Entry of a record in the copy. */
const adoptRecord = <Topic extends ports.RegistryTopic>(
	adoption: CopyAdoption<Topic>,
	record: ports.RegistryRecord<Topic>,
): ReplicaEntry<Topic> => {
	if (record.offset >= adoption.restoredBeforeOffset) {
		return {record};
	}

	const entry = adoption.entries.get(record.key);
	const prior = {
		state: readEntryState(entry, adoption.nowMs),
		value: entry?.record.value ?? entry?.former?.value,
		isLost: entry?.isLost ?? false,
		nextOffset: adoption.previousNextOffset,
	};
	const value = adoptRestoredValue(adoption.topic, prior, record);
	return value === undefined
		? {
				record: {...record, value},
				former: toFormerValue(entry, adoption.previousEra, Number.NEGATIVE_INFINITY),
				isWithheld: record.value !== undefined,
			}
		: {record: {...record, value}};
};

/** Entry of a key that is missing from the copy. Its removal comes after all records of the copy. */
const keepMissing = <Topic extends ports.RegistryTopic>(
	{topic, previousEra, copy, renewalEndsAtMs, nowMs}: CopyAdoption<Topic>,
	entry: ReplicaEntry<Topic>,
): ReplicaEntry<Topic> => {
	const {record} = entry;
	const offset = copy.nextOffset - 1;
	if (record.value !== undefined && KEEPS_REMOVED_VALUE[topic]) {
		return {record: {...record, offset}};
	}

	const isInUse = readEntryState(entry, nowMs) !== KeyState.Removed;
	const former = toFormerValue(entry, previousEra, renewalEndsAtMs);
	const untilMs = isInUse && former ? Math.max(former.untilMs, renewalEndsAtMs) : Number.NEGATIVE_INFINITY;
	return {
		record: {key: record.key, offset, value: undefined},
		former: former && {...former, untilMs},
		isLost: isInUse || entry.isLost,
		isWithheld: entry.isWithheld,
	};
};

/**
 * Entries of a replica that reads the store's copy after a rollback. What the copy lacks stays in use for a while, since it may
 * be written again, and what the copy restored does not undo what the node knew.
 */
export const adoptCopy = <Topic extends ports.RegistryTopic>(
	adoption: CopyAdoption<Topic>,
): ReadonlyMap<string, ReplicaEntry<Topic>> => {
	const presentKeys = new Set(adoption.copy.records.map(({key}) => key));
	const missing = [...adoption.entries].filter(([key]) => !presentKeys.has(key));
	return new Map([
		...missing.map(([key, entry]) => [key, keepMissing(adoption, entry)] as const),
		...adoption.copy.records.map(record => [record.key, adoptRecord(adoption, record)] as const),
	]);
};

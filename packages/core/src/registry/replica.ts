import * as ports from '../ports/index.js';

type ReplicaEntry<Topic extends ports.RegistryTopic> = {
	readonly record: ports.RegistryRecord<Topic>;
	/** Value before a removal that may be a lapse, which stays in use until `untilMs`, and the offset of its record. */
	readonly lapsing?: {readonly value: ports.RegistryValues[Topic]; readonly offset: number; readonly untilMs: number};
};

/** What a replica knows of a key. */
export enum KeyState {
	/** The key has a value. */
	InUse = 'in-use',
	/** The key was removed after an outage of the store, and its last value stays in use for a while. */
	Lapsing = 'lapsing',
	/** The key was removed. */
	Removed = 'removed',
	/** The replica has no record of the key. */
	Unknown = 'unknown',
}

/** This node's copy of one topic: the newest record of each key. */
export type Replica<Topic extends ports.RegistryTopic> = {
	/** Offset to read from next; -1 before the first records. */
	nextOffset(): number;
	/** Increases whenever a value changes. */
	revision(): number;
	/**
	 * Applies records; true if a value changed.
	 *
	 * @param lapsesUntilMs monotonic time until which removed values stay in use, in ms, since they may be registered again
	 */
	apply(changes: ports.TopicChanges<Topic>, lapsesUntilMs?: number): boolean;
	/** Ends lapses at the given monotonic time, in ms, if they would end later. True if a value that was in use is not any more. */
	limitLapses(untilMs: number): boolean;
	/** Changes for a peer whose replica continues from `fromOffset`. */
	changesSince(fromOffset: number): ports.TopicChanges<Topic>;
	stateOf(key: string): KeyState;
	/** Offset of the newest record that gave the key a value, also after the value's removal; undefined if it is not known. */
	valueOffset(key: string): number | undefined;
	/**
	 * Whether the key was removed after the record at `offset`. A key without a record was, if this replica's records reach beyond
	 * `offset`: whole copies omit removed keys.
	 */
	isRemovedAfter(key: string, offset: number): boolean;
	/** Values in force, by key. */
	values(): ReadonlyMap<string, ports.RegistryValues[Topic]>;
};

type ValueComparator<Topic extends ports.RegistryTopic> = (
	left: ports.RegistryValues[Topic],
	right: ports.RegistryValues[Topic],
) => boolean;

/** Whether a new value (right) brings no change to the existing one (left) that must be sent to peers. */
const VALUE_COMPARATORS: {readonly [Topic in ports.RegistryTopic]: ValueComparator<Topic>} = {
	[ports.RegistryTopic.Catalogue]: (left, right) => left.version >= right.version,
	// `warmUpLeftMs` is not compared: it changes with each heartbeat and can be computed from the first value.
	[ports.RegistryTopic.Targets]: (left, right) =>
		left.startedAtMs === right.startedAtMs &&
		left.readiness === right.readiness &&
		left.address === right.address &&
		left.service === right.service &&
		left.slotCount === right.slotCount &&
		left.availabilityZone === right.availabilityZone,
	[ports.RegistryTopic.Nodes]: (left, right) =>
		left.incarnationId === right.incarnationId && left.address === right.address,
};

/** Whether the last readable value of a key stays in use when its record is removed. */
const KEEPS_REMOVED_VALUE: Record<ports.RegistryTopic, boolean> = {
	[ports.RegistryTopic.Catalogue]: true,
	[ports.RegistryTopic.Targets]: false,
	[ports.RegistryTopic.Nodes]: false,
};

const keepsUnreadableValue = (topic: ports.RegistryTopic): boolean =>
	ports.UNREADABLE_RECORD_EFFECTS[topic] === ports.UnreadableEffect.LastRecordKept;

export const createReplica = <Topic extends ports.RegistryTopic>(topic: Topic, clock: ports.Clock): Replica<Topic> => {
	const entries = new Map<string, ReplicaEntry<Topic>>();
	let nextOffset = -1;
	let revision = 0;
	/** Removals before this offset may be missing here, so a peer with a lower offset gets all records. */
	let removalsKnownFromOffset = 0;

	const isUnchanged = (existing: ReplicaEntry<Topic> | undefined, record: ports.RegistryRecord<Topic>): boolean => {
		const value = existing?.record.value;
		if (record.value === undefined) {
			const isKept = record.isUnreadable ? keepsUnreadableValue(topic) : KEEPS_REMOVED_VALUE[topic];
			return value === undefined || isKept;
		}

		return value !== undefined && VALUE_COMPARATORS[topic](value, record.value);
	};

	/** Whether the replica has a newer record of the key, or a newer whole copy in which the key is missing. */
	const isOutdated = (existing: ReplicaEntry<Topic> | undefined, record: ports.RegistryRecord<Topic>): boolean =>
		existing
			? existing.record.offset >= record.offset
			: record.offset < removalsKnownFromOffset && !KEEPS_REMOVED_VALUE[topic];

	const applyRecord = (record: ports.RegistryRecord<Topic>, lapsesUntilMs: number): boolean => {
		const existing = entries.get(record.key);
		if (isOutdated(existing, record) || isUnchanged(existing, record)) {
			return false;
		}

		const last = existing?.record;
		const isLapsing = record.value === undefined && last?.value !== undefined && lapsesUntilMs > clock.monotonicMs();
		const lapsing = isLapsing ? {value: last.value, offset: last.offset, untilMs: lapsesUntilMs} : undefined;
		entries.set(record.key, {record, lapsing});
		return true;
	};

	const listRemovals = (changes: ports.TopicChanges<Topic>): Array<ports.RegistryRecord<Topic>> => {
		const presentKeys = new Set(changes.records.map(({key}) => key));
		return [...entries.values()]
			.map(({record}) => record)
			.filter(
				record => record.value !== undefined && !presentKeys.has(record.key) && record.offset < changes.nextOffset,
			)
			.map(({key}) => ({key, offset: changes.nextOffset - 1, value: undefined}));
	};

	const stateOf = (key: string): KeyState => {
		const entry = entries.get(key);
		if (entry === undefined) {
			return KeyState.Unknown;
		}

		if (entry.record.value !== undefined) {
			return KeyState.InUse;
		}

		return entry.lapsing && entry.lapsing.untilMs > clock.monotonicMs() ? KeyState.Lapsing : KeyState.Removed;
	};

	const removalChecks: Record<KeyState, (key: string, offset: number) => boolean> = {
		[KeyState.InUse]: () => false,
		[KeyState.Lapsing]: () => false,
		[KeyState.Removed]: (key, offset) => entries.get(key)!.record.offset > offset,
		[KeyState.Unknown]: (_key, offset) => nextOffset > offset,
	};

	return {
		nextOffset: () => nextOffset,
		revision: () => revision,
		apply(changes, lapsesUntilMs = 0) {
			const removals = changes.isWhole ? listRemovals(changes) : [];
			const changed = [...changes.records, ...removals].filter(record => applyRecord(record, lapsesUntilMs));
			if (changes.isWhole) {
				removalsKnownFromOffset = Math.max(removalsKnownFromOffset, changes.nextOffset);
			}

			nextOffset = Math.max(nextOffset, changes.nextOffset);
			revision += changed.length > 0 ? 1 : 0;
			return changed.length > 0;
		},
		limitLapses(untilMs) {
			const nowMs = clock.monotonicMs();
			const limited = [...entries].filter(([, {lapsing}]) => lapsing && lapsing.untilMs > Math.max(nowMs, untilMs));
			limited.forEach(([key, {record, lapsing}]) => {
				entries.set(key, {record, lapsing: {...lapsing!, untilMs}});
			});
			const isAnyEnded = limited.length > 0 && untilMs <= nowMs;
			revision += isAnyEnded ? 1 : 0;
			return isAnyEnded;
		},
		changesSince(fromOffset) {
			const isWhole = fromOffset < removalsKnownFromOffset;
			const records = [...entries.values()]
				.map(({record}) => record)
				.filter(({offset, value}) => (isWhole ? value !== undefined : offset >= fromOffset));
			return {records, nextOffset, isWhole};
		},
		stateOf,
		valueOffset(key) {
			const entry = entries.get(key);
			return entry?.record.value === undefined ? entry?.lapsing?.offset : entry.record.offset;
		},
		isRemovedAfter: (key, offset) => removalChecks[stateOf(key)](key, offset),
		values() {
			const nowMs = clock.monotonicMs();
			return new Map(
				[...entries].flatMap(([key, {record, lapsing}]) => {
					const value = record.value ?? (lapsing && lapsing.untilMs > nowMs ? lapsing.value : undefined);
					return value === undefined ? [] : [[key, value] as const];
				}),
			);
		},
	};
};

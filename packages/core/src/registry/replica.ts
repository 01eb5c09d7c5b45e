import {adoptCopy} from '../eras/adopt-copy.js';
import {comparePositions, type Position} from '../eras/position.js';
import type * as ports from '../ports/index.js';
import {KeyState} from './key-state.js';
import {readEntryState, toFormerValue, type ReplicaEntry} from './replica-entry.js';
import {
	HAS_HEARTBEATS,
	INCARNATION_COMPARATORS,
	KEEPS_REMOVED_VALUE,
	keepsUnreadableValue,
	VALUE_COMPARATORS,
} from './topic-rules.js';

/** What became of a topic when it was read anew in a new era of the store. */
export type TopicReread = {
	readonly topic: ports.RegistryTopic;
	readonly previousEra: number;
	readonly era: number;
	readonly previousNextOffset: number;
	readonly nextOffset: number;
	readonly recordCount: number;
	/** Values that the store's copy lacks and that stay in use for a while. */
	readonly lostCount: number;
	/** Records that are not used before they are written anew. */
	readonly withheldCount: number;
};

/** This node's copy of one topic: the newest record of each key. */
export type Replica<Topic extends ports.RegistryTopic> = {
	/** Offset to read from next; -1 before the first records. */
	nextOffset(): number;
	/** Era of the store to which all offsets of the replica belong. */
	era(): number;
	/** Increases whenever a value changes. */
	revision(): number;
	/**
	 * Applies records; true if a value or the era changed. Records of an older era are ignored, and so are changes of a newer one
	 * that are not the whole topic.
	 *
	 * @param lapsesUntilMs monotonic time until which removed values stay in use, in ms, since they may be registered again
	 * @param renewalEndsAtMs the same for values whose records a rollback of the store lost or restored
	 */
	apply(changes: ports.TopicChanges<Topic>, lapsesUntilMs?: number, renewalEndsAtMs?: number): boolean;
	/** Ends lapses at the given monotonic time, in ms, if they would end later. True if a value that was in use is not any more. */
	limitLapses(untilMs: number): boolean;
	/** Changes for a peer whose replica continues from `fromOffset`, which belongs to this replica's era unless one is given. */
	changesSince(fromOffset: number, fromEra?: number): ports.TopicChanges<Topic>;
	/** Whether there are changes for such a peer. */
	hasChangesSince(fromOffset: number, fromEra?: number): boolean;
	stateOf(key: string): KeyState;
	/** Offset of the newest record that gave the key a value, also after the value's removal; undefined if it is not known. */
	valueOffset(key: string): number | undefined;
	/** Position of the same record. */
	valuePosition(key: string): Position | undefined;
	/**
	 * Whether the key was removed after the record at the position. A key without a record was, if this replica's records reach
	 * beyond the position: whole copies omit removed keys. A removed value does not return with a record of a newer era that this
	 * replica does not know yet.
	 */
	isRemovedAfter(key: string, position: Position, value: ports.RegistryValues[Topic]): boolean;
	/** Values in force, by key. */
	values(): ReadonlyMap<string, ports.RegistryValues[Topic]>;
};

export const createReplica = <Topic extends ports.RegistryTopic>(
	topic: Topic,
	clock: ports.Clock,
	onReread: (reread: TopicReread) => void = () => undefined,
): Replica<Topic> => {
	let entries = new Map<string, ReplicaEntry<Topic>>();
	let nextOffset = -1;
	let era = 0;
	let revision = 0;
	/** Removals before this offset may be missing here, so a peer with a lower offset gets all records. */
	let removalsKnownFromOffset = 0;
	/** Records before this offset may have been restored by a rollback of the store. */
	let restoredBeforeOffset = 0;

	/** Whether a record that changes no value is the first one of its key which the store cannot have restored. */
	const isConfirmation = (existing: ports.RegistryRecord<Topic>, record: ports.RegistryRecord<Topic>): boolean =>
		HAS_HEARTBEATS[topic] && existing.offset < restoredBeforeOffset && record.offset >= restoredBeforeOffset;

	const isUnchanged = (existing: ReplicaEntry<Topic> | undefined, record: ports.RegistryRecord<Topic>): boolean => {
		const value = existing?.record.value;
		if (record.value === undefined) {
			const isKept = record.isUnreadable ? keepsUnreadableValue(topic) : KEEPS_REMOVED_VALUE[topic];
			return value === undefined || isKept;
		}

		return (
			value !== undefined && VALUE_COMPARATORS[topic](value, record.value) && !isConfirmation(existing!.record, record)
		);
	};

	/** Whether the replica has a newer record of the key, or a newer whole copy in which the key is missing. */
	const isOutdated = (existing: ReplicaEntry<Topic> | undefined, record: ports.RegistryRecord<Topic>): boolean =>
		existing
			? existing.record.offset >= record.offset
			: record.offset < removalsKnownFromOffset && !KEEPS_REMOVED_VALUE[topic];

	const applyRecord = (
		record: ports.RegistryRecord<Topic>,
		lapsesUntilMs: number,
		renewalEndsAtMs: number,
	): boolean => {
		const existing = entries.get(record.key);
		if (isOutdated(existing, record) || isUnchanged(existing, record)) {
			return false;
		}

		// A restored registration may expire before its target renews it; one that was renewed since is removed for good.
		const mayExpire = HAS_HEARTBEATS[topic] && (existing?.record.offset ?? 0) < restoredBeforeOffset;
		const untilMs = Math.max(lapsesUntilMs, mayExpire ? renewalEndsAtMs : 0);
		entries.set(record.key, {
			record,
			...(record.value === undefined && {former: toFormerValue(existing, era, untilMs)}),
		});
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

	const stateOf = (key: string): KeyState => readEntryState(entries.get(key), clock.monotonicMs());

	/** Replaces the replica by the whole topic of a new era. */
	const applyNewEra = (copy: ports.TopicChanges<Topic>, copyEra: number, renewalEndsAtMs: number): void => {
		const nowMs = clock.monotonicMs();
		const previous = {previousEra: era, previousNextOffset: nextOffset};
		entries = new Map(adoptCopy({topic, entries, ...previous, copy, restoredBeforeOffset, renewalEndsAtMs, nowMs}));
		era = copyEra;
		nextOffset = copy.nextOffset;
		removalsKnownFromOffset = copy.nextOffset;
		revision++;
		onReread({
			topic,
			...previous,
			era,
			nextOffset,
			recordCount: copy.records.length,
			lostCount: [...entries.values()].filter(entry => readEntryState(entry, nowMs) === KeyState.Lapsing).length,
			withheldCount: [...entries.values()].filter(({isWithheld}) => isWithheld).length,
		});
	};

	const applyInEra = (changes: ports.TopicChanges<Topic>, lapsesUntilMs: number, renewalEndsAtMs: number): boolean => {
		const removals = changes.isWhole ? listRemovals(changes) : [];
		const changed = [...changes.records, ...removals].filter(record =>
			applyRecord(record, lapsesUntilMs, renewalEndsAtMs),
		);
		if (changes.isWhole) {
			removalsKnownFromOffset = Math.max(removalsKnownFromOffset, changes.nextOffset);
		}

		nextOffset = Math.max(nextOffset, changes.nextOffset);
		revision += changed.length > 0 ? 1 : 0;
		return changed.length > 0;
	};

	const hasReachedBeyond = (position: Position): boolean => comparePositions({era, offset: nextOffset}, position) > 0;

	const isRemovalAfter = (key: string, position: Position, value: ports.RegistryValues[Topic]): boolean => {
		const {record, former, isWithheld = false} = entries.get(key)!;
		if (position.era > era) {
			return former !== undefined && INCARNATION_COMPARATORS[topic](former.value, value);
		}

		const order = comparePositions({era, offset: record.offset}, position);
		return order > 0 || (isWithheld && order === 0);
	};

	const removalChecks: Record<KeyState, typeof isRemovalAfter> = {
		[KeyState.InUse]: () => false,
		[KeyState.Lapsing]: () => false,
		[KeyState.Removed]: isRemovalAfter,
		[KeyState.Unknown]: (_key, position) => hasReachedBeyond(position),
	};

	const isOfOtherEra = (fromEra: number | undefined): boolean => fromEra !== undefined && fromEra !== era;

	const changesSince = (fromOffset: number, fromEra?: number): ports.TopicChanges<Topic> => {
		const position = {nextOffset, era, restoredBeforeOffset};
		if (fromEra !== undefined && fromEra > era) {
			return {records: [], ...position, isWhole: false};
		}

		const isWhole = fromOffset < removalsKnownFromOffset || isOfOtherEra(fromEra);
		const records = [...entries.values()]
			.map(({record}) => record)
			.filter(({offset, value}) => (isWhole ? value !== undefined : offset >= fromOffset));
		return {records, ...position, isWhole};
	};

	const valuePosition = (key: string): Position | undefined => {
		const entry = entries.get(key);
		return entry?.record.value === undefined ? entry?.former?.position : {era, offset: entry.record.offset};
	};

	return {
		nextOffset: () => nextOffset,
		era: () => era,
		revision: () => revision,
		apply(changes, lapsesUntilMs = 0, renewalEndsAtMs = 0) {
			const changesEra = changes.era ?? era;
			const isFirst = nextOffset < 0;
			if (changesEra < era || (changesEra > era && !isFirst && !changes.isWhole)) {
				return false;
			}

			if (changesEra > era) {
				const copyEndOffset = changes.isWhole ? Math.max(0, changes.nextOffset) : 0;
				restoredBeforeOffset = changes.restoredBeforeOffset ?? copyEndOffset;
			}

			if (changesEra > era && !isFirst) {
				applyNewEra(changes, changesEra, renewalEndsAtMs);
				return true;
			}

			era = changesEra;
			return applyInEra(changes, lapsesUntilMs, renewalEndsAtMs);
		},
		limitLapses(untilMs) {
			const nowMs = clock.monotonicMs();
			const limited = [...entries].filter(([, {former}]) => former && former.untilMs > Math.max(nowMs, untilMs));
			limited.forEach(([key, entry]) => {
				entries.set(key, {...entry, former: {...entry.former!, untilMs}});
			});
			const isAnyEnded = limited.length > 0 && untilMs <= nowMs;
			revision += isAnyEnded ? 1 : 0;
			return isAnyEnded;
		},
		changesSince,
		hasChangesSince: (fromOffset, fromEra) =>
			(fromEra !== undefined && fromEra < era) || changesSince(fromOffset, fromEra).records.length > 0,
		stateOf,
		valuePosition,
		valueOffset: key => valuePosition(key)?.offset,
		isRemovedAfter: (key, position, value) => removalChecks[stateOf(key)](key, position, value),
		values() {
			const nowMs = clock.monotonicMs();
			return new Map(
				[...entries].flatMap(([key, {record, former}]) => {
					const value = record.value ?? (former && former.untilMs > nowMs ? former.value : undefined);
					return value === undefined ? [] : [[key, value] as const];
				}),
			);
		},
	};
};

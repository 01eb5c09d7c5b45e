import type {Position} from '../eras/position.js';
import type * as ports from '../ports/index.js';
import {KeyState} from './key-state.js';

/** Value before a removal, which stays in use until `untilMs` if the removal may be a lapse, and the position of its record. */
export type FormerValue<Topic extends ports.RegistryTopic> = {
	readonly value: ports.RegistryValues[Topic];
	readonly position: Position;
	readonly untilMs: number;
};

/** What a replica holds of a key. */
export type ReplicaEntry<Topic extends ports.RegistryTopic> = {
	/** Its offset belongs to the replica's era. */
	readonly record: ports.RegistryRecord<Topic>;
	/** Present after a removal, if the value was known. */
	readonly former?: FormerValue<Topic>;
	/** Whether the key counts as removed because the copy of a new era lacked it. */
	readonly isLost?: boolean;
	/** Whether the store has a record of the key that is not used, since the store may have restored it. */
	readonly isWithheld?: boolean;
};

export const readEntryState = <Topic extends ports.RegistryTopic>(
	entry: ReplicaEntry<Topic> | undefined,
	nowMs: number,
): KeyState => {
	if (entry === undefined) {
		return KeyState.Unknown;
	}

	if (entry.record.value !== undefined) {
		return KeyState.InUse;
	}

	return entry.former && entry.former.untilMs > nowMs ? KeyState.Lapsing : KeyState.Removed;
};

/** The last value of a key, as it is kept after its removal. */
export const toFormerValue = <Topic extends ports.RegistryTopic>(
	entry: ReplicaEntry<Topic> | undefined,
	era: number,
	untilMs: number,
): FormerValue<Topic> | undefined =>
	entry?.record.value === undefined
		? entry?.former
		: {value: entry.record.value, position: {era, offset: entry.record.offset}, untilMs};

import * as ports from '../ports/index.js';

type ValueComparator<Topic extends ports.RegistryTopic> = (
	left: ports.RegistryValues[Topic],
	right: ports.RegistryValues[Topic],
) => boolean;

/** Whether a new value (right) brings no change to the existing one (left) that must be sent to peers. */
export const VALUE_COMPARATORS: {readonly [Topic in ports.RegistryTopic]: ValueComparator<Topic>} = {
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

/** Whether two values of a key are of the same process. */
export const INCARNATION_COMPARATORS: {readonly [Topic in ports.RegistryTopic]: ValueComparator<Topic>} = {
	[ports.RegistryTopic.Catalogue]: () => false,
	[ports.RegistryTopic.Targets]: (left, right) => left.startedAtMs === right.startedAtMs,
	[ports.RegistryTopic.Nodes]: (left, right) => left.incarnationId === right.incarnationId,
};

/** Whether the last readable value of a key stays in use when its record is removed. */
export const KEEPS_REMOVED_VALUE: Record<ports.RegistryTopic, boolean> = {
	[ports.RegistryTopic.Catalogue]: true,
	[ports.RegistryTopic.Targets]: false,
	[ports.RegistryTopic.Nodes]: false,
};

/** Whether the writers of a topic write each record again at short intervals, and registrations expire without that. */
export const HAS_HEARTBEATS: Record<ports.RegistryTopic, boolean> = {
	[ports.RegistryTopic.Catalogue]: false,
	[ports.RegistryTopic.Targets]: true,
	[ports.RegistryTopic.Nodes]: false,
};

/** Whether the last readable value of a key stays in use when its new record cannot be read. */
export const keepsUnreadableValue = (topic: ports.RegistryTopic): boolean =>
	ports.UNREADABLE_RECORD_EFFECTS[topic] === ports.UnreadableEffect.LastRecordKept;

import * as ports from '../ports/index.js';

/** Age of a topic that has never been read, in ms. */
export const NEVER_READ_AGE_MS = 1_000_000_000;

/** Topics on which the handling of calls depends. The nodes only determine the dispatchers, and failed ones are avoided anyway. */
export const CALL_CRITICAL_TOPICS: readonly ports.RegistryTopic[] = [
	ports.RegistryTopic.Catalogue,
	ports.RegistryTopic.Targets,
];

/**
 * Ages from which a topic is stale. Targets: two missed reads. Catalogue: one read that took its full wait, followed by one
 * without an answer.
 */
const STALE_AGES_MS: Record<ports.RegistryTopic, number> = {
	[ports.RegistryTopic.Catalogue]: 3000,
	[ports.RegistryTopic.Targets]: 2200,
	[ports.RegistryTopic.Nodes]: NEVER_READ_AGE_MS,
};

/** Tracks when the store last answered a read of each topic, either of this node or of the node that it pulls from. */
export type TopicAges = {
	/** Records that the store answered a read of the topic `ageMs` ago. Ignored if a later read has been recorded. */
	confirm(topic: ports.RegistryTopic, ageMs: number): void;
	ageMs(topic: ports.RegistryTopic): number;
	/** Age of the older of the topics on which the handling of calls depends. */
	oldestMs(): number;
	/** Whether a topic on which the handling of calls depends is stale. */
	isStale(): boolean;
	/** All ages, rounded for messages and log lines. */
	list(): ports.TopicAgesMs;
};

export const createTopicAges = (clock: ports.Clock): TopicAges => {
	const confirmedAtMs = new Map<ports.RegistryTopic, number>();
	const ageMs = (topic: ports.RegistryTopic): number =>
		Math.min(NEVER_READ_AGE_MS, clock.monotonicMs() - (confirmedAtMs.get(topic) ?? -NEVER_READ_AGE_MS));
	return {
		confirm(topic, confirmedAgeMs) {
			const atMs = clock.monotonicMs() - confirmedAgeMs;
			confirmedAtMs.set(topic, Math.max(confirmedAtMs.get(topic) ?? -NEVER_READ_AGE_MS, atMs));
		},
		ageMs,
		isStale: () => CALL_CRITICAL_TOPICS.some(topic => ageMs(topic) >= STALE_AGES_MS[topic]),
		oldestMs: () => Math.max(...CALL_CRITICAL_TOPICS.map(ageMs)),
		list: () => ({
			[ports.RegistryTopic.Catalogue]: Math.round(ageMs(ports.RegistryTopic.Catalogue)),
			[ports.RegistryTopic.Targets]: Math.round(ageMs(ports.RegistryTopic.Targets)),
			[ports.RegistryTopic.Nodes]: Math.round(ageMs(ports.RegistryTopic.Nodes)),
		}),
	};
};

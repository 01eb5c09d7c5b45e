import * as ports from '../ports/index.js';

/** Age of a topic that no source has ever confirmed, in ms. */
export const NEVER_READ_AGE_MS = 1_000_000_000;

/** Topics on which the handling of calls depends. The nodes only decide who dispatches, which follows failures too. */
export const DECISIVE_TOPICS: readonly ports.RegistryTopic[] = [
	ports.RegistryTopic.Catalogue,
	ports.RegistryTopic.Targets,
];

/**
 * Ages from which a topic is stale: two missed reads of the targets; a read of the catalogue that took its whole wait, and one
 * without an answer.
 */
const STALE_AGES_MS: Record<ports.RegistryTopic, number> = {
	[ports.RegistryTopic.Catalogue]: 3000,
	[ports.RegistryTopic.Targets]: 2200,
	[ports.RegistryTopic.Nodes]: NEVER_READ_AGE_MS,
};

/** When the store last answered a read of each topic, here or at the node that this one learns from. */
export type TopicAges = {
	/** The store answered a read of the topic `ageMs` ago. An older confirmation than the known one changes nothing. */
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
		isStale: () => DECISIVE_TOPICS.some(topic => ageMs(topic) >= STALE_AGES_MS[topic]),
		oldestMs: () => Math.max(...DECISIVE_TOPICS.map(ageMs)),
		list: () => ({
			[ports.RegistryTopic.Catalogue]: Math.round(ageMs(ports.RegistryTopic.Catalogue)),
			[ports.RegistryTopic.Targets]: Math.round(ageMs(ports.RegistryTopic.Targets)),
			[ports.RegistryTopic.Nodes]: Math.round(ageMs(ports.RegistryTopic.Nodes)),
		}),
	};
};

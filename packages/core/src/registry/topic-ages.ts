import * as ports from '../ports/index.js';

/** Age of a topic that no source has ever confirmed, in ms. */
export const NEVER_READ_AGE_MS = 1_000_000_000;

/** When the store last answered a read of each topic, here or at the node that this one learns from. */
export type TopicAges = {
	/** The store answered a read of the topic `ageMs` ago. An older confirmation than the known one changes nothing. */
	confirm(topic: ports.RegistryTopic, ageMs: number): void;
	ageMs(topic: ports.RegistryTopic): number;
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
		list: () => ({
			[ports.RegistryTopic.Catalogue]: Math.round(ageMs(ports.RegistryTopic.Catalogue)),
			[ports.RegistryTopic.Targets]: Math.round(ageMs(ports.RegistryTopic.Targets)),
			[ports.RegistryTopic.Nodes]: Math.round(ageMs(ports.RegistryTopic.Nodes)),
		}),
	};
};

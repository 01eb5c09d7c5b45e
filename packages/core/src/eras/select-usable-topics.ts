import * as ports from '../ports/index.js';
import type {KnownEras} from './known-eras.js';

export type GivenTopics = Partial<ports.PullRegistryReply['topics']>;

/** Topics of an answer without those of an era older than the newest known one, each with its era. */
export const selectUsableTopics = (given: GivenTopics, eras: Pick<KnownEras, 'newest' | 'resolve'>): GivenTopics =>
	Object.fromEntries(
		Object.values(ports.RegistryTopic)
			.map(topic => ({topic, changes: given[topic], era: eras.resolve(given[topic]?.era)}))
			.filter(({changes, era}) => changes !== undefined && era >= eras.newest())
			.map(({topic, changes, era}) => [topic, {...changes, era}]),
	);

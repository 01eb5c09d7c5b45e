import * as core from '@bilberrydoor/core';
import type * as neverthrow from 'neverthrow';
import type {DeliverReply} from './registry-fleet.js';
import {createSeededRandom} from './seeded-random.js';

/** Hides the era of every answer, so that nodes know offsets only. */
const hideEra = <Changes extends {readonly era: number}>(
	answer: neverthrow.Result<Changes, core.RegistryError>,
): neverthrow.Result<Changes, core.RegistryError> =>
	answer.map(changes => ({...changes, era: 0})).mapErr(({kind, detail}) => ({kind, detail}));

/** A store whose nodes compare offsets alone. */
export const hideEras = (store: core.RegistryStore): core.RegistryStore => ({
	...store,
	readChanges: async (...parameters) => hideEra(await store.readChanges(...parameters)),
	readAll: async (...parameters) => hideEra(await store.readAll(...parameters)),
});

/** Delays each answer by a random time, so that some arrive after the store has gone back. */
export const delayAnswers = (store: core.RegistryStore, clock: core.Clock, limitMs: number): core.RegistryStore => {
	const random = createSeededRandom(limitMs);
	const delay = async <Answer>(answer: Promise<Answer>): Promise<Answer> => {
		const value = await answer;
		await clock.sleep(random.fraction() * limitMs);
		return value;
	};

	return {
		...store,
		readChanges: async (...parameters) => delay(store.readChanges(...parameters)),
		readAll: async (...parameters) => delay(store.readAll(...parameters)),
	};
};

/** Removes what nodes of earlier versions do not send. */
const omitEras = (reply: core.PullRegistryReply): core.PullRegistryReply => {
	const {storeEra: _storeEra, topics, ...others} = reply;
	const {catalogue, targets, nodes} = topics;
	const omitted = {era: undefined, restoredBeforeOffset: undefined};
	return {
		...others,
		topics: {
			[core.RegistryTopic.Catalogue]: {...catalogue, ...omitted},
			[core.RegistryTopic.Targets]: {...targets, ...omitted},
			[core.RegistryTopic.Nodes]: {...nodes, ...omitted},
		},
	};
};

/** Replies of the first nodes are those of an earlier version. */
export const createOlderReplies =
	(olderCount: number): DeliverReply =>
	async (senderId, kind, reply) =>
		kind === core.FleetMessageKind.PullRegistry && Number(senderId.replace('node-', '')) < olderCount
			? omitEras(reply as core.PullRegistryReply)
			: reply;

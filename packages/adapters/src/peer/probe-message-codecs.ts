import type * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';
import {memberUpdateCodec} from './member-update-codec.js';

/** Largest number of updates in one message. */
const UPDATE_LIMIT_COUNT = 64;

const updatesSchema = zod.array(memberUpdateCodec).max(UPDATE_LIMIT_COUNT);
/** Offset in the log; -1 before the first record. */
const offset = zod.number().int().min(-1);
const durationMs = zod.number().min(0);

export const probeRequestCodec = zod.codec(
	zod.tuple([memberUpdateCodec, offset, durationMs, updatesSchema]),
	zod.custom<core.ProbeRequest>(),
	{
		decode: ([sender, appliedOffset, silenceMs, memberUpdates]) => ({
			sender,
			appliedOffset,
			silenceMs,
			updates: memberUpdates,
		}),
		encode: (request): [domain.MemberUpdate, number, number, domain.MemberUpdate[]] => [
			request.sender,
			request.appliedOffset,
			Math.round(request.silenceMs),
			[...request.updates],
		],
	},
);

export const probeReplyCodec = zod.codec(
	zod.tuple([memberUpdateCodec, offset, updatesSchema]),
	zod.custom<core.ProbeReply>(),
	{
		decode: ([responder, appliedOffset, memberUpdates]) => ({responder, appliedOffset, updates: memberUpdates}),
		encode: (reply): [domain.MemberUpdate, number, domain.MemberUpdate[]] => [
			reply.responder,
			reply.appliedOffset,
			[...reply.updates],
		],
	},
);

export const indirectProbeRequestCodec = zod.codec(
	zod.tuple([zod.string().max(128), updatesSchema]),
	zod.custom<core.IndirectProbeRequest>(),
	{
		decode: ([subjectAddress, memberUpdates]) => ({subjectAddress, updates: memberUpdates}),
		encode: (request): [string, domain.MemberUpdate[]] => [request.subjectAddress, [...request.updates]],
	},
);

export const indirectProbeReplyCodec = zod.codec(
	zod.tuple([zod.boolean(), updatesSchema, durationMs.optional()]),
	zod.custom<core.IndirectProbeReply>(),
	{
		decode: ([isReached, memberUpdates, heardAgoMs]) => ({isReached, heardAgoMs, updates: memberUpdates}),
		encode: (reply): [boolean, domain.MemberUpdate[], number?] =>
			reply.heardAgoMs === undefined
				? [reply.isReached, [...reply.updates]]
				: [reply.isReached, [...reply.updates], Math.round(reply.heardAgoMs)],
	},
);

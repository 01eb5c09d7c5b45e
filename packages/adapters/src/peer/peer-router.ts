import * as core from '@bilberrydoor/core';
import * as trpc from '@trpc/server';
import * as zod from 'zod';
import {PEER_MESSAGE_SCHEMAS} from './peer-message-schemas.js';

const builder = trpc.initTRPC.context<{signal: AbortSignal}>().create();

const createProcedure = <Kind extends core.PeerMessageKind>(kind: Kind, handlers: core.PeerHandlers) =>
	builder.procedure
		.input(PEER_MESSAGE_SCHEMAS[kind].request)
		.mutation(async ({input, ctx}) =>
			zod.encode(
				PEER_MESSAGE_SCHEMAS[kind].reply,
				await handlers[kind](input as core.PeerMessages[Kind]['request'], ctx.signal),
			),
		);

/** tRPC router with one procedure for each kind of control message. */
export const createPeerRouter = (handlers: core.PeerHandlers) =>
	builder.router(
		Object.fromEntries(Object.values(core.PeerMessageKind).map(kind => [kind, createProcedure(kind, handlers)])),
	);

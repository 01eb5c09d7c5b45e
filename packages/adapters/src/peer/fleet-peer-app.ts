import * as core from '@bilberrydoor/core';
import * as trpc from '@trpc/server';
import * as trpcFetch from '@trpc/server/adapters/fetch';
import * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import type {NodeBindings} from '../http/http-listener.js';
import {FLEET_MESSAGE_SCHEMAS, FLEET_REPLY_ENCODERS} from './fleet-message-schemas.js';

/** Limit on the message size in bytes. The largest messages are requests for grants with a few excluded targets. */
const MESSAGE_LIMIT_BYTES = 65_536;

export const FLEET_PATH = '/fleet';

export type FleetPeerAppOptions = {
	readonly handlers: core.FleetMessageHandlers;
	readonly logger: core.Logger;
	readonly metrics: core.Metrics;
};

const builder = trpc.initTRPC.context<{signal: AbortSignal}>().create();

const createProcedure = <Kind extends core.FleetMessageKind>(kind: Kind, handlers: core.FleetMessageHandlers) =>
	builder.procedure.input(FLEET_MESSAGE_SCHEMAS[kind].request).mutation(async ({input, ctx}) => {
		const reply = await handlers[kind](input, ctx.signal);
		return FLEET_REPLY_ENCODERS[kind](reply);
	});

/** Creates the HTTP application for messages of other nodes, with one tRPC procedure for each kind of message. */
export const createFleetPeerApp = (options: FleetPeerAppOptions): hono.Hono<NodeBindings> => {
	const router = builder.router(
		Object.fromEntries(
			Object.values(core.FleetMessageKind).map(kind => [kind, createProcedure(kind, options.handlers)]),
		),
	);
	const app = new hono.Hono<NodeBindings>();
	app.use(`${FLEET_PATH}/*`, honoBodyLimit.bodyLimit({maxSize: MESSAGE_LIMIT_BYTES}));
	app.all(`${FLEET_PATH}/*`, async context => {
		// Bytes between zones and regions are paid for, and no node reads the date or caches a reply.
		context.env.outgoing.sendDate = false;
		const response = await trpcFetch.fetchRequestHandler({
			endpoint: FLEET_PATH,
			req: context.req.raw,
			router,
			createContext: () => ({signal: context.req.raw.signal}),
			onError({error, path}) {
				options.metrics.increment(core.CounterName.PeerMessages, {kind: path ?? 'unknown', result: error.code});
				options.logger.warn('peer message refused', {
					event: core.LogEvent.PeerMessageRefused,
					path,
					detail: error.message,
				});
			},
		});
		response.headers.delete('vary');
		return response;
	});
	return app;
};

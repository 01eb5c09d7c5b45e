import type * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import * as hono from 'hono';
import type {NodeBindings} from '../http/http-listener.js';
import {addOperationsRoutes, type OperationsRoutesOptions} from './operations-routes.js';
import {readCallRequest} from './read-call-request.js';
import {writeCallEnding} from './write-call-ending.js';

export type FrontAppOptions = {
	readonly node: Pick<core.Node, 'handleCall'> & OperationsRoutesOptions['node'];
	readonly random: core.Random;
	readonly logger: core.Logger;
};

const handleRequest = async (
	options: FrontAppOptions,
	incoming: http.IncomingMessage,
	outgoing: http.ServerResponse,
): Promise<void> => {
	const request = readCallRequest(incoming, options.random.token());
	if (request.isErr()) {
		const refuse = incoming.headers['operation-id'] === undefined ? domain.notRun : domain.unknown;
		await writeCallEnding(outgoing, refuse(domain.RefusalReason.BadRequest, request.error));
		return;
	}

	const controller = new AbortController();
	outgoing.on('close', () => {
		controller.abort(core.STOP_REASON);
	});
	try {
		const ending = await options.node.handleCall(request.value, controller.signal);
		if (!outgoing.destroyed) {
			await writeCallEnding(outgoing, ending);
		}
	} catch (error) {
		options.logger.error('call handling failed', {callId: request.value.callId, error: String(error)});
		outgoing.destroy();
	}
};

/** Creates the HTTP application for callers. */
export const createFrontApp = (options: FrontAppOptions): hono.Hono<NodeBindings> => {
	const app = new hono.Hono<NodeBindings>();
	addOperationsRoutes(app, options);
	app.all('*', async context => {
		await handleRequest(options, context.env.incoming, context.env.outgoing);
		return nodeServerResponse.RESPONSE_ALREADY_SENT;
	});
	return app;
};

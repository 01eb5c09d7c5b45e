import type * as http from 'node:http';
import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import * as trpcFetch from '@trpc/server/adapters/fetch';
import * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import type {NodeBindings} from '../http/http-listener.js';
import {writeBody} from '../http/write-body.js';
import {decodeForwardedCall, encodeEnding, ENDING_HEADER, FORWARDED_CALL_HEADER} from './forwarded-call-codec.js';
import {AUTHENTICATION_HEADER, type PeerEnvelope, REPLAY_REFUSAL} from './peer-envelope.js';
import {createPeerRouter} from './peer-router.js';

/** Largest control message in bytes. */
export const CONTROL_MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024;

export const FORWARD_PATH = '/forward';
export const CONTROL_PATH = '/control';

export type PeerAppOptions = {
	readonly node: Pick<core.Node, 'handleForwardedCall' | 'peerHandlers' | 'self'>;
	readonly envelope: PeerEnvelope;
	readonly logger: core.Logger;
};

const refuse = (outgoing: http.ServerResponse, status: number, detail: string): void => {
	outgoing.writeHead(status, {'content-type': 'text/plain', connection: 'close'});
	outgoing.end(detail);
};

const handleForward = async (
	options: PeerAppOptions,
	incoming: http.IncomingMessage,
	outgoing: http.ServerResponse,
): Promise<void> => {
	const head = String(incoming.headers[FORWARDED_CALL_HEADER] ?? '');
	const authentication = incoming.headers[AUTHENTICATION_HEADER] as string | undefined;
	const opened = options.envelope.open(FORWARD_PATH, head, authentication);
	if (opened.isErr()) {
		options.logger.warn('forwarded call refused', {detail: opened.error});
		refuse(outgoing, opened.error === REPLAY_REFUSAL ? 409 : 401, opened.error);
		return;
	}

	const forwarded = decodeForwardedCall(head, incoming);
	if (!forwarded) {
		refuse(outgoing, 400, 'the head of the forwarded call is malformed');
		return;
	}

	const required = forwarded.requiredIncarnationId;
	if (required !== undefined && required !== options.node.self.incarnationId) {
		refuse(outgoing, 410, 'the call is meant for another incarnation of this node');
		return;
	}

	const controller = new AbortController();
	outgoing.on('close', () => {
		controller.abort();
	});
	const ending = await options.node.handleForwardedCall(forwarded, controller.signal);
	if (outgoing.destroyed) {
		return;
	}

	const endingHead = encodeEnding(ending);
	outgoing.writeHead(200, {
		[ENDING_HEADER]: endingHead,
		[AUTHENTICATION_HEADER]: options.envelope.sealReply(authentication!, endingHead),
		...(!incoming.complete && {connection: 'close'}),
	});
	await (ending.outcome === domain.Outcome.Completed
		? writeBody(ending.answer.body, outgoing)
		: new Promise(resolve => {
				outgoing.end(resolve);
			}));
};

/** The listener for other nodes: streamed calls, and control messages over tRPC. */
export const createPeerApp = (options: PeerAppOptions): hono.Hono<NodeBindings> => {
	const app = new hono.Hono<NodeBindings>();
	const router = createPeerRouter(options.node.peerHandlers);

	app.post(FORWARD_PATH, async context => {
		const {outgoing} = context.env;
		try {
			await handleForward(options, context.env.incoming, outgoing);
		} catch (error) {
			options.logger.error('forwarded call failed', {error: String(error)});
			outgoing.destroy();
		}

		return nodeServerResponse.RESPONSE_ALREADY_SENT;
	});
	app.use(`${CONTROL_PATH}/*`, honoBodyLimit.bodyLimit({maxSize: CONTROL_MESSAGE_LIMIT_BYTES}));
	app.all(`${CONTROL_PATH}/*`, async context => {
		const content = await context.req.text();
		const {pathname} = new URL(context.req.url);
		const authentication = context.req.header(AUTHENTICATION_HEADER);
		const opened = options.envelope.open(pathname, content, authentication);
		if (opened.isErr()) {
			options.logger.warn('control message refused', {detail: opened.error});
			return context.text(opened.error, 401);
		}

		const response = await trpcFetch.fetchRequestHandler({
			endpoint: CONTROL_PATH,
			req: new Request(context.req.url, {
				method: context.req.method,
				headers: {'content-type': 'application/json'},
				body: context.req.method === 'POST' ? content : undefined,
			}),
			router,
			createContext: () => ({signal: context.req.raw.signal}),
		});
		const reply = await response.text();
		return new Response(reply, {
			status: response.status,
			headers: {
				'content-type': 'application/json',
				[AUTHENTICATION_HEADER]: options.envelope.sealReply(authentication!, reply),
			},
		});
	});
	return app;
};

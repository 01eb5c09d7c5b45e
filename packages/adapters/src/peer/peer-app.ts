import type * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import * as trpcFetch from '@trpc/server/adapters/fetch';
import * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import * as neverthrow from 'neverthrow';
import type {NodeBindings} from '../http/http-listener.js';
import {writeBody} from '../http/write-body.js';
import {decodeForwardedCall, encodeEnding, ENDING_HEADER, FORWARDED_CALL_HEADER} from './forwarded-call-codec.js';
import {
	AUTHENTICATION_HEADER,
	buildAuthenticationContext,
	IS_PROOF_OF_NO_EFFECT,
	REFUSAL_HEADER,
	type PeerEnvelope,
} from './peer-envelope.js';
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

type Refusal = {readonly status: number; readonly detail: string; readonly isProofOfNoEffect: boolean};

/** Builds the headers of a refusal, with the proof that the message had no effect when there is one. */
const buildRefusalHeaders = (
	options: PeerAppOptions,
	refusal: Refusal,
	authentication: string | undefined,
): Record<string, string> => ({
	'content-type': 'text/plain',
	connection: 'close',
	...(refusal.isProofOfNoEffect &&
		authentication !== undefined && {
			[REFUSAL_HEADER]: options.envelope.sealRefusal(authentication, refusal.status),
		}),
});

/** Checks the authentication of a message. Returns a refusal when it is not accepted. */
const checkAuthentication = (
	options: PeerAppOptions,
	path: string,
	content: string,
	authentication: string | undefined,
): Refusal | undefined => {
	const opened = options.envelope.open(
		buildAuthenticationContext(options.node.self.address, path),
		content,
		authentication,
	);
	if (opened.isOk()) {
		return undefined;
	}

	options.logger.warn('peer message refused', {path, ...opened.error});
	return {status: 401, detail: opened.error.detail, isProofOfNoEffect: IS_PROOF_OF_NO_EFFECT[opened.error.kind]};
};

/** Decodes an authenticated call for this incarnation, or returns the reason for refusing it. */
const acceptForwardedCall = (
	options: PeerAppOptions,
	head: string,
	incoming: http.IncomingMessage,
): neverthrow.Result<core.ForwardedCall, Refusal> => {
	const forwarded = decodeForwardedCall(head, incoming);
	if (!forwarded) {
		return neverthrow.err({
			status: 400,
			detail: 'the head of the forwarded call is malformed',
			isProofOfNoEffect: true,
		});
	}

	const required = forwarded.requiredIncarnationId;
	return required === undefined || required === options.node.self.incarnationId
		? neverthrow.ok(forwarded)
		: neverthrow.err({
				status: 410,
				detail: 'the call is meant for another incarnation of this node',
				isProofOfNoEffect: true,
			});
};

const handleForward = async (
	options: PeerAppOptions,
	incoming: http.IncomingMessage,
	outgoing: http.ServerResponse,
): Promise<void> => {
	const head = String(incoming.headers[FORWARDED_CALL_HEADER] ?? '');
	const authentication = incoming.headers[AUTHENTICATION_HEADER] as string | undefined;
	const authenticationRefusal = checkAuthentication(options, FORWARD_PATH, head, authentication);
	const accepted = authenticationRefusal
		? neverthrow.err(authenticationRefusal)
		: acceptForwardedCall(options, head, incoming);
	if (accepted.isErr()) {
		const refusal = accepted.error;
		outgoing.writeHead(refusal.status, buildRefusalHeaders(options, refusal, authentication));
		outgoing.end(refusal.detail);
		return;
	}

	const controller = new AbortController();
	outgoing.on('close', () => {
		controller.abort(core.STOP_REASON);
	});
	const ending = await options.node.handleForwardedCall(accepted.value, controller.signal);
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

/** Creates the HTTP application for other nodes: forwarded calls as streams, and control messages over tRPC. */
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
		const refusal = checkAuthentication(options, pathname, content, authentication);
		if (refusal) {
			return new Response(refusal.detail, {
				status: refusal.status,
				headers: buildRefusalHeaders(options, refusal, authentication),
			});
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

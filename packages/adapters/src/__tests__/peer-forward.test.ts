import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as hono from 'hono';
import * as undici from 'undici';
import {type NodeBindings, startHttpListener} from '../http/http-listener.js';
import {encodeForwardedCall, FORWARDED_CALL_HEADER} from '../peer/forwarded-call-codec.js';
import {createHttpPeerClient} from '../peer/http-peer-client.js';
import {createPeerApp, FORWARD_PATH, type PeerAppOptions} from '../peer/peer-app.js';
import {AUTHENTICATION_HEADER, createPeerEnvelope} from '../peer/peer-envelope.js';
import {createFleetKeyAuthenticator} from '../platform/fleet-key-authenticator.js';
import {createSystemClock} from '../platform/system-clock.js';
import {createSystemRandom} from '../platform/system-random.js';

const ignore = (): void => undefined;
const createEnvelope = () =>
	createPeerEnvelope({
		authenticator: createFleetKeyAuthenticator(['key-of-the-test-fleet']),
		clock: createSystemClock(),
		random: createSystemRandom(),
	});

const FORWARDED: core.ForwardedCall = {
	purpose: core.ForwardPurpose.Schedule,
	service: 'malipo',
	groupId: 'malipo/pwani/0',
	remainingMs: 1000,
	remainingStartMs: 500,
	call: {callId: 'c', method: 'POST', path: '/work', query: '', headers: [], workspace: 'w'},
};

// Guards against single work that is moved to another node although the peer may have handled an earlier copy.
[
	{status: 400, kind: core.PeerErrorKind.Refused},
	{status: 401, kind: core.PeerErrorKind.Refused},
	{status: 410, kind: core.PeerErrorKind.Refused},
	{status: 409, kind: core.PeerErrorKind.Lost},
	{status: 200, kind: core.PeerErrorKind.Lost},
	{status: 500, kind: core.PeerErrorKind.Lost},
].forEach(({status, kind}) => {
	test(`a reply with status ${status} and no authenticated ending counts as ${kind}`, async t => {
		const app = new hono.Hono<NodeBindings>();
		app.all('*', context => context.text('', status as 200));
		const listener = await startHttpListener(app, {});
		const client = createHttpPeerClient(createEnvelope());
		const forwarded = await client.forwardCall(listener.address, FORWARDED, new AbortController().signal);
		t.is(forwarded._unsafeUnwrapErr().kind, kind);
		await client.close();
		listener.destroy();
		await listener.close();
	});
});

test('a repeated forwarded call is not handled again and is not reported as unhandled', async t => {
	const handled: core.ForwardedCall[] = [];
	const node = {
		self: {incarnationId: 'run-1'},
		peerHandlers: {},
		async handleForwardedCall(forwarded: core.ForwardedCall) {
			handled.push(forwarded);
			return domain.notRun(domain.RefusalReason.NoTarget, 'none');
		},
	} as unknown as PeerAppOptions['node'];
	const logger = {debug: ignore, info: ignore, warn: ignore, error: ignore};
	const listener = await startHttpListener(createPeerApp({node, envelope: createEnvelope(), logger}), {});
	const head = encodeForwardedCall(FORWARDED);
	const headers = {
		[FORWARDED_CALL_HEADER]: head,
		[AUTHENTICATION_HEADER]: createEnvelope().seal(FORWARD_PATH, head),
	};
	const send = async () => {
		const reply = await undici.request(`http://${listener.address}${FORWARD_PATH}`, {method: 'POST', headers});
		await reply.body.dump();
		return reply.statusCode;
	};

	const statuses = [await send(), await send()];
	t.deepEqual(statuses, [200, 409]);
	t.deepEqual(
		handled.map(({remainingStartMs}) => remainingStartMs),
		[500],
	);
	listener.destroy();
	await listener.close();
});

import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as hono from 'hono';
import * as undici from 'undici';
import {type NodeBindings, startHttpListener} from '../http/http-listener.js';
import {encodeForwardedCall, FORWARDED_CALL_HEADER} from '../peer/forwarded-call-codec.js';
import {createHttpPeerClient} from '../peer/http-peer-client.js';
import {createPeerApp, FORWARD_PATH, type PeerAppOptions} from '../peer/peer-app.js';
import {
	AUTHENTICATION_HEADER,
	buildAuthenticationContext,
	createPeerEnvelope,
	REFUSAL_HEADER,
} from '../peer/peer-envelope.js';
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

// Guards against forwarding a non-repeatable call to another node although the peer may have handled an earlier copy.
[{status: 400}, {status: 401}, {status: 410}, {status: 409}, {status: 200}, {status: 500}].forEach(({status}) => {
	test(`a reply with status ${status} and without authentication by the fleet counts as lost`, async t => {
		const app = new hono.Hono<NodeBindings>();
		app.all('*', context => context.text('', status as 200));
		const listener = await startHttpListener(app, {});
		const client = createHttpPeerClient(createEnvelope());
		const forwarded = await client.forwardCall(listener.address, FORWARDED, new AbortController().signal);
		t.is(forwarded._unsafeUnwrapErr().kind, core.PeerErrorKind.Lost);
		await client.close();
		listener.destroy();
		await listener.close();
	});
});

test('a replayed forwarded call is neither handled again nor refused with a proof of no effect', async t => {
	const handled: core.ForwardedCall[] = [];
	const self = {incarnationId: 'run-1', address: ''};
	const node = {
		self,
		peerHandlers: {},
		async handleForwardedCall(forwarded: core.ForwardedCall) {
			handled.push(forwarded);
			return domain.notRun(domain.RefusalReason.NoTarget, 'none');
		},
	} as unknown as PeerAppOptions['node'];
	const logger = {debug: ignore, info: ignore, warn: ignore, error: ignore};
	const listener = await startHttpListener(createPeerApp({node, envelope: createEnvelope(), logger}), {});
	self.address = listener.address;
	const head = encodeForwardedCall(FORWARDED);
	const headers = {
		[FORWARDED_CALL_HEADER]: head,
		[AUTHENTICATION_HEADER]: createEnvelope().seal(buildAuthenticationContext(self.address, FORWARD_PATH), head),
	};
	const send = async () => {
		const reply = await undici.request(`http://${listener.address}${FORWARD_PATH}`, {method: 'POST', headers});
		await reply.body.dump();
		return {isHandled: reply.statusCode === 200, isProvenRefusal: reply.headers[REFUSAL_HEADER] !== undefined};
	};

	t.deepEqual(
		[await send(), await send()],
		[
			{isHandled: true, isProvenRefusal: false},
			{isHandled: false, isProvenRefusal: false},
		],
	);
	t.deepEqual(
		handled.map(({remainingStartMs}) => remainingStartMs),
		[500],
	);
	listener.destroy();
	await listener.close();
});

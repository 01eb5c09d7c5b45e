import * as core from '@bilberrydoor/core';
import test from 'ava';
import * as undici from 'undici';
import {startHttpListener} from '../http/http-listener.js';
import {createFleetPeerApp, FLEET_PATH} from '../peer/fleet-peer-app.js';

const ignore = (): void => undefined;

// Guards against headers that no node reads and that cost bytes between zones and regions with each message.
test('a reply to a peer has no headers that peers do not read', async t => {
	const app = createFleetPeerApp({
		handlers: {
			[core.FleetMessageKind.ReportResult]: async () => ({}),
		} as unknown as core.FleetMessageHandlers,
		logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
		metrics: {increment: ignore, set: ignore, observe: ignore},
	});
	const listener = await startHttpListener(app, {host: '127.0.0.1', port: 0});
	const reply = await undici.request(`http://${listener.address}${FLEET_PATH}/${core.FleetMessageKind.ReportResult}`, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			grantId: 'grant',
			nodeId: 'entry-1',
			routeId: 'route',
			service: 'malipo',
			region: 'bara',
			targetId: 'away',
			result: core.GrantResult.Success,
			durationMs: 320,
		}),
	});
	t.is(reply.statusCode, 200);
	t.deepEqual(await reply.body.json(), {result: {data: {}}});
	t.deepEqual(
		Object.keys(reply.headers).filter(
			name => !['content-type', 'content-length', 'connection', 'keep-alive'].includes(name),
		),
		[],
	);
	await listener.close();
});

import * as timersPromises from 'node:timers/promises';
import test from 'ava';
import {checkNodeUnderCrowd, connectClients} from './client-crowd.js';
import {TargetBehaviour} from './stand-in-target.js';

/** Time for the node to receive what the clients have sent. */
const ARRIVAL_MS = 1000;

const CLIENT_COUNT = 80;
const HOST_LINE = 'Host: malipo.example\r\n';

/** Requests without a deadline and without an id. */
const REPEATED_REQUESTS = [
	{name: 'requests to a target', request: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}\r\n`},
	{name: 'requests that the node answers itself', request: 'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'},
	{name: 'requests with a body', request: `POST /safe/x HTTP/1.1\r\n${HOST_LINE}Content-Length: 1\r\n\r\nx`},
	{
		name: 'requests with a body in chunks',
		request: `POST /safe/x HTTP/1.1\r\n${HOST_LINE}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
	},
	{name: 'requests without a host', request: 'GET /safe/x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'},
	{name: 'requests with an unknown expectation', request: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}Expect: x\r\n\r\n`},
];

REPEATED_REQUESTS.forEach(({name, request}) => {
	// Guards against an ordinary caller that waits behind all that a few connections have sent ahead.
	test.serial(`an ordinary caller is served beside clients that send ${name} without end and read nothing`, async t => {
		await checkNodeUnderCrowd(t, async (_fleet, node) => {
			const clients = await connectClients(t, node, CLIENT_COUNT);
			clients.forEach(client => {
				client.sendEndlessly(request);
			});
			await timersPromises.setTimeout(ARRIVAL_MS);
			return clients;
		});
	});
});

// Guards against requests sent ahead that take all of the memory for requests at work while a target is slow.
test.serial('a request finds room beside clients whose requests sent ahead wait for a slow target', async t => {
	await checkNodeUnderCrowd(t, async (fleet, node) => {
		const clients = await connectClients(t, node, CLIENT_COUNT);
		fleet.targets[0]!.behaviour = TargetBehaviour.Slow;
		clients.forEach(client => {
			client.sendEndlessly(REPEATED_REQUESTS[0]!.request);
		});
		await timersPromises.setTimeout(ARRIVAL_MS);
		fleet.targets[0]!.behaviour = TargetBehaviour.Serve;
		return clients;
	});
});

import * as timersPromises from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {checkNodeUnderCrowd, connectClients, type CrowdClient} from './client-crowd.js';
import type {RunningNode} from './fleet-harness.js';

/** Time for the node to receive what the clients have sent. */
const ARRIVAL_MS = 500;

const CLIENT_COUNT = 40;

/** Short, so that the tests need not wait long for connections to end. */
const CATALOGUE_LIMITS = {header_timeout_s: 1, idle_timeout_s: 2};
const CHECKS = {catalogueLimits: CATALOGUE_LIMITS, hasPipeliningCaller: true, mustEndClients: true};

const HOST_LINE = 'Host: malipo.example\r\n';
const REQUEST = `GET /safe/x HTTP/1.1\r\n${HOST_LINE}\r\n`;
const CHUNKED_HEAD = `POST /safe/x HTTP/1.1\r\n${HOST_LINE}Transfer-Encoding: chunked\r\n\r\n`;

/** Beyond the largest head of 16,384 bytes, and beyond the largest one that the HTTP parser reads. */
const LARGE_HEAD_BYTES = 20_000;
const HUGE_HEAD_BYTES = 100_000;

const buildHead = (sizeBytes: number): string =>
	`GET /safe/x HTTP/1.1\r\n${HOST_LINE}X-Note: ${'v'.repeat(sizeBytes)}\r\n\r\n`;

/** Requests that never end: what a client sends first, and what it repeats. */
const ENDLESS_PARTS: ReadonlyArray<{name: string; start: string; repeated: string; quietBytes?: number}> = [
	{name: 'empty lines', start: '', repeated: '\r\n', quietBytes: 1000},
	{name: 'empty lines after a request', start: REQUEST, repeated: '\r\n', quietBytes: 1000},
	{name: 'line feeds after a request', start: REQUEST, repeated: '\n', quietBytes: 1000},
	{name: 'short header lines', start: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}`, repeated: 'a:\r\n'},
	{name: 'a header name', start: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}`, repeated: 'n'},
	{name: 'a header value', start: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}a: `, repeated: 'v'},
	{name: 'spaces before a header value', start: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}a:`, repeated: ' '},
	{name: 'spaces before the request target', start: 'GET ', repeated: ' '},
	{name: 'a request target', start: 'GET /safe/', repeated: 'x'},
	{name: 'a chunk extension', start: `${CHUNKED_HEAD}1;`, repeated: 'e'},
	{name: 'zeros of a chunk size', start: CHUNKED_HEAD, repeated: '0'},
	{name: 'trailer lines', start: `${CHUNKED_HEAD}1\r\nx\r\n0\r\n`, repeated: 't: v\r\n'},
];

/** Bytes that a quiet client sends before it sends a few now and then, where a form has no other number. */
const QUIET_BYTES = 14_000;

const connectSenders = async (
	t: ExecutionContext,
	node: RunningNode,
	start: string,
): Promise<readonly CrowdClient[]> => {
	const clients = await connectClients(t, node, CLIENT_COUNT);
	clients.forEach(client => {
		client.send(start);
	});
	await timersPromises.setTimeout(ARRIVAL_MS);
	return clients;
};

ENDLESS_PARTS.forEach(({name, start, repeated, quietBytes = QUIET_BYTES}) => {
	// Guards against quiet clients that keep a budget which all connections share, and whose connections never end.
	test.serial(`a few clients that slowly send ${name} do not keep others from being served`, async t => {
		await checkNodeUnderCrowd(
			t,
			async (_fleet, node) => {
				const clients = await connectSenders(t, node, start);
				clients.forEach(client => {
					client.send(repeated.repeat(quietBytes / repeated.length));
					client.trickle(repeated);
				});
				await timersPromises.setTimeout(ARRIVAL_MS);
				return clients;
			},
			CHECKS,
		);
	});

	// Guards against requests without an end that fill the memory or the event loop.
	test.serial(`a node survives clients that send ${name} without end`, async t => {
		await checkNodeUnderCrowd(
			t,
			async (_fleet, node) => {
				const clients = await connectSenders(t, node, start);
				clients.forEach(client => {
					client.sendEndlessly(repeated);
				});
				await timersPromises.setTimeout(ARRIVAL_MS);
				return clients;
			},
			CHECKS,
		);
	});
});

/** Heads beyond the limits. The last form has requests at work before it. */
const LARGE_HEADS = [
	{name: 'heads over the limit', repeated: buildHead(LARGE_HEAD_BYTES)},
	{name: 'heads over the limit of the parser', repeated: buildHead(HUGE_HEAD_BYTES)},
	{name: 'heads over the limit behind other requests', repeated: `${REQUEST.repeat(8)}${buildHead(HUGE_HEAD_BYTES)}`},
];

// Guards against refused heads that take memory, and whose connections stay open.
LARGE_HEADS.forEach(({name, repeated}) => {
	test.serial(`a node survives clients that send ${name}`, async t => {
		await checkNodeUnderCrowd(
			t,
			async (_fleet, node) => {
				const clients = await connectClients(t, node, CLIENT_COUNT);
				clients.forEach(client => {
					client.sendEndlessly(repeated);
				});
				await timersPromises.setTimeout(ARRIVAL_MS);
				return clients;
			},
			CHECKS,
		);
	});
});

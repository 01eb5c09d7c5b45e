import {Buffer} from 'node:buffer';
import * as timersPromises from 'node:timers/promises';
import * as platform from '@bilberrydoor/platform';
import test from 'ava';
import {checkNodeUnderCrowd, connectClient, connectClients, type CrowdClient} from './client-crowd.js';
import {TargetBehaviour} from './stand-in-target.js';

const {PLATFORM_DIALECT: dialect} = platform;

/** Time for the node to receive what the clients have sent. */
const ARRIVAL_MS = 3000;

const HOST_LINE = 'Host: malipo.example\r\n';

const sendToAll = (clients: readonly CrowdClient[], bytes: string | Uint8Array): void => {
	clients.forEach(client => {
		client.send(bytes);
	});
};

const AHEAD_CLIENT_COUNT = 80;
const AHEAD_REQUEST_COUNT = 3000;

/** Requests that are sent ahead. None has an id, a deadline or another header beside the necessary one. */
const AHEAD_REQUESTS = [
	{name: 'to a target', request: `GET /safe/x HTTP/1.1\r\n${HOST_LINE}\r\n`},
	{name: 'that the node answers itself', request: 'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'},
];

// Guards against requests that are read ahead without a bound while their answers wait, and that are handled for closed connections.
AHEAD_REQUESTS.forEach(({name, request}) => {
	test.serial(`a node survives requests sent ahead with their answers unread, ${name}`, async t => {
		await checkNodeUnderCrowd(t, async (_fleet, node) => {
			const clients = await connectClients(t, node, AHEAD_CLIENT_COUNT);
			sendToAll(clients, request.repeat(AHEAD_REQUEST_COUNT));
			await timersPromises.setTimeout(ARRIVAL_MS);
			return clients;
		});
	});
});

const CONNECTION_COUNT = 800;
const HEAD = `POST /unsafe/x HTTP/1.1\r\n${HOST_LINE}`;
const BODY_LENGTH_BYTES = 20_000;

/** What the clients of a crowd have sent when a part of them leaves. */
const STAGES = [
	'',
	HEAD,
	`${HEAD}Content-Length: ${BODY_LENGTH_BYTES}\r\n\r\n${'x'.repeat(BODY_LENGTH_BYTES / 2)}`,
	`${HEAD}Content-Length: 4\r\n\r\nbody`,
];

// Guards against connections that take all descriptors, and against calls that are handled although their callers have left.
test.serial('a node survives very many connections, part of which leave early', async t => {
	await checkNodeUnderCrowd(t, async (fleet, node) => {
		fleet.targets[0]!.behaviour = TargetBehaviour.NoAnswer;
		const clients = await connectClients(t, node, CONNECTION_COUNT);
		clients.forEach((client, index) => {
			client.send(STAGES[index % STAGES.length]!);
		});
		await timersPromises.setTimeout(ARRIVAL_MS / 10);
		// Half of the clients leave, in each stage.
		const isLeaving = (index: number): boolean => Math.floor(index / STAGES.length) % 2 === 0;
		clients.forEach((client, index) => {
			if (isLeaving(index)) {
				client.leave(index % 3 === 0 ? 'reset' : 'close');
			}
		});
		await timersPromises.setTimeout(ARRIVAL_MS);
		fleet.targets[0]!.behaviour = TargetBehaviour.Serve;
		return clients.filter((_client, index) => !isLeaving(index));
	});
});

const LINES_CLIENT_COUNT = 350;
const LINES_REQUEST_COUNT = 15;
const LINE_COUNT = 1900;

/** Header lines of heads within the limit of 16,384 bytes. */
const HEADER_LINES: ReadonlyArray<{name: string; line: (index: number) => string}> = [
	{name: 'short', line: index => `${index.toString(36)}:\r\n`},
	{name: 'repeated', line: () => 'a:b\r\n'},
	{name: 'odd', line: index => `${'!#$%&*+-.^_`|~'[index % 14]}${index.toString(36)}:\t \u00E9 \r\n`},
];

// Guards against heads whose lines take many times their bytes while their calls wait.
HEADER_LINES.forEach(({name, line}) => {
	test.serial(`a node survives requests of very many ${name} header lines`, async t => {
		await checkNodeUnderCrowd(t, async (fleet, node) => {
			fleet.targets[0]!.behaviour = TargetBehaviour.NoAnswer;
			const clients = await connectClients(t, node, LINES_CLIENT_COUNT);
			const lines = Array.from({length: LINE_COUNT}, (_, index) => line(index)).join('');
			const request = `GET /safe/x HTTP/1.1\r\n${HOST_LINE}${lines}\r\n`;
			sendToAll(clients, Buffer.from(request.repeat(LINES_REQUEST_COUNT), 'latin1'));
			await timersPromises.setTimeout(ARRIVAL_MS);
			fleet.targets[0]!.behaviour = TargetBehaviour.Serve;
			return clients;
		});
	});
});

const UPLOAD_CLIENT_COUNT = 250;

/** Within the body limit of the stand-in's catalogue. */
const UPLOAD_BYTES = 1_000_000;
const SENT_UPLOAD_BYTES = 520_000;

// Guards against bodies that fill the memory while they arrive.
test.serial('a node survives many unfinished uploads at once', async t => {
	await checkNodeUnderCrowd(t, async (_fleet, node) => {
		const clients = await connectClients(t, node, UPLOAD_CLIENT_COUNT);
		const body = Buffer.alloc(SENT_UPLOAD_BYTES, 'photo');
		const head = `POST /upload/x HTTP/1.1\r\n${HOST_LINE}${dialect.remainingMsHeader}: 60000\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`;
		sendToAll(clients, head);
		sendToAll(clients, body);
		await timersPromises.setTimeout(ARRIVAL_MS);
		return clients;
	});
});

const READER_COUNT = 30;
const LARGE_ANSWER_COUNT = 100;

// Guards against answers that fill the memory while their callers do not read them.
test.serial('a node survives large answers that are not read', async t => {
	await checkNodeUnderCrowd(t, async (fleet, node) => {
		fleet.targets[0]!.behaviour = TargetBehaviour.Large;
		const request = `GET /safe/x HTTP/1.1\r\n${HOST_LINE}\r\n`;
		const clients: CrowdClient[] = [];
		// The clients come one after the other, so that their calls do not exceed the queue for the target's slots.
		while (clients.length < READER_COUNT) {
			const client = await connectClient(t, node);
			client.send(request.repeat(LARGE_ANSWER_COUNT));
			clients.push(client);
			await timersPromises.setTimeout(ARRIVAL_MS / 10);
		}

		fleet.targets[0]!.behaviour = TargetBehaviour.Serve;
		return clients;
	});
});

/* eslint-disable camelcase -- The names are those of the platform. */
// Stand-in for a sound upstream: runs what names it, one request at a time on a connection, and records each run.
import {Buffer} from 'node:buffer';
import crypto from 'node:crypto';
import http from 'node:http';
import {findPort, sleep} from './shared.mjs';

const HEARTBEAT_MS = 1500;

/**
 * @param {object} options
 * @param {(path: string) => number} options.workMs time that a request takes
 * @param {(run: {id: string, path: string, upstream: string}) => void} options.onRun called when a request begins to run
 */
export const startUpstream = async ({store, host, id, service, zone, workMs, onRun, onEnd = () => {}}) => {
	const bornMs = Date.now();
	const server = http.createServer({keepAliveTimeout: 10_000}, async (request, response) => {
		const requestId = request.headers['x-request-id'];
		const chunks = [];
		try {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const head = requestId === undefined ? {} : {'x-request-id': requestId};
		if (request.url === '/health') {
			response.writeHead(200, {'x-instance-id': id}).end();
			return;
		}

		const expected = request.headers['x-expect-instance'];
		if (requestId === undefined || (expected !== undefined && expected !== id)) {
			response.writeHead(requestId === undefined ? 400 : 421, {...head, 'x-not-executed': '1'}).end();
			return;
		}

		onRun({id: requestId, path: request.url, upstream: id});
		await sleep(workMs(request.url));
		onEnd({id: requestId, path: request.url, upstream: id, isConnected: !response.destroyed});
		const body = Buffer.from(`answer to ${requestId}\n`);
		response.writeHead(200, {
			...head,
			'x-upstream-signature': crypto.randomBytes(6).toString('hex'),
			'content-length': body.length,
		});
		response.end(body);
	});
	const port = await findPort(host);
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	let seq = 0;
	const beat = () => {
		store.writeServer(id, {
			address: `${host}:${port}`,
			born: bornMs,
			info: {service, version: 'v1', zone, slots: 4},
			status: {state: 'ready', seq: seq++, warmup_left_s: 0},
		});
	};

	beat();
	const timer = setInterval(beat, HEARTBEAT_MS);
	return {
		id,
		/** Leaves without having reported that it drains: its entry is removed, and it goes on serving. */
		leave() {
			clearInterval(timer);
			store.writeServer(id, undefined);
		},
	};
};

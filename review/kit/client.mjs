// Stand-in for clients.
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import * as http from 'node:http';
import * as shared from './shared.mjs';

/** Sends one request as a client does, and resolves with its answer, or with the error that ended the connection. */
export const send = async (node, given = {}) =>
	new Promise(resolve => {
		const {
			requestId = randomUUID(),
			service = 'malipo',
			kind = 'unsafe',
			body = 'clearance',
			deadlineMs = 4000,
			agent,
		} = given;
		const [frontHost, frontPort] = node.front.split(':');
		const sentAtMs = performance.now();
		const finish = result => {
			resolve({requestId, sentAtMs, endedAtMs: performance.now(), ...result});
		};

		const request = http.request({
			host: frontHost,
			port: Number(frontPort),
			agent: agent ?? false,
			method: kind === 'safe' ? 'GET' : 'POST',
			path: `/${kind}/x`,
			headers: {
				host: `${service}.example`,
				'x-request-id': requestId,
				'x-request-deadline-ms': String(deadlineMs),
				...(kind !== 'safe' && {'content-length': String(Buffer.byteLength(body))}),
			},
			signal: AbortSignal.timeout(deadlineMs + 2000),
		});
		request.on('response', response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('error', () => undefined);
			response.on('close', () => {
				finish({
					status: response.complete ? response.statusCode : 0,
					text: Buffer.concat(chunks).toString(),
					headers: response.headers,
				});
			});
		});
		request.on('error', error => {
			finish({status: 0, text: String(error), headers: {}});
		});
		if (kind === 'safe') {
			request.end();
		} else {
			request.end(body);
		}
	});

/** Sends requests to the nodes in turn, one each `gapMs`, until `stop` is called. */
export const startTraffic = ({nodes, gapMs, request}) => {
	const answersById = new Map();
	let index = 0;
	const sendNext = async () => {
		const node = nodes[index % nodes.length];
		index++;
		const answer = await send(node, request);
		answersById.set(answer.requestId, {...answer, nodeId: node.nodeId});
	};

	const timer = setInterval(sendNext, gapMs);
	return {
		/** Answers so far by the id of their request. */
		answersById,
		/** Ends the traffic, and waits for the answers that are still due. */
		async stop() {
			clearInterval(timer);
			await shared.sleep(2500);
		},
	};
};

// Stand-in for an upstream.
import * as http from 'node:http';
import * as shared from './shared.mjs';

const {host, sleep} = shared;

/**
 * Starts an upstream. It serves `slots` requests at once, and keeps what it ran in `runs`.
 */
export const startUpstream = async ({id, workMs = 200, slots = 4}) => {
	const runs = [];
	let runningCount = 0;
	const server = http.createServer(async (request, response) => {
		const requestId = request.headers['x-request-id'];
		if (request.headers['x-expect-instance'] !== id) {
			request.resume();
			response.writeHead(421, {'x-request-id': requestId, 'x-instance-id': id, 'x-not-executed': '1'}).end();
			return;
		}

		if (runningCount >= slots) {
			request.resume();
			response.writeHead(503, {'x-request-id': requestId, 'x-not-executed': '1'}).end();
			return;
		}

		runningCount++;
		const run = {requestId, arrivedAtMs: performance.now(), receivedBytes: 0, isBodyWhole: false, upstreamId: id};
		runs.push(run);
		request.on('data', chunk => {
			run.receivedBytes += chunk.length;
		});
		request.on('end', () => {
			run.isBodyWhole = true;
		});
		request.on('error', () => undefined);
		try {
			await new Promise(resolve => {
				request.once('close', resolve);
				request.once('end', resolve);
			});
			if (!run.isBodyWhole) {
				return;
			}

			await sleep(workMs);
			if (!response.destroyed) {
				response.writeHead(200, {'x-request-id': requestId, 'x-upstream-signature': `signed.${requestId}`});
				response.end(`done ${requestId} by ${id} with ${run.receivedBytes} bytes`);
			}
		} finally {
			runningCount--;
		}
	});
	server.keepAliveTimeout = 10_000;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		id,
		slots,
		runs,
		address: `${host}:${server.address().port}`,
		/** Ends like a process that exits: the port and all connections are closed. */
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
};

import type * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import test from 'ava';
import * as undici from 'undici';
import {createRetirablePool, type RetirablePool} from '../target/retirable-pool.js';
import {startRawTarget} from './raw-target.js';

/** Time for a connection to open or close. */
const SOCKET_MS = 50;

/** Sends a request, and resolves with its error or when it was answered. */
const send = async (pool: RetirablePool): Promise<string> =>
	new Promise(resolve => {
		pool.dispatch(
			{method: 'GET', path: '/'},
			{
				onRequestStart: () => undefined,
				onResponseEnd() {
					resolve('answered');
				},
				onResponseError(_controller, error) {
					resolve(error.message);
				},
			},
		);
	});

// Guards against an unhandled rejection, which ends the process, after the pool of a faulty target was given up while requests
// waited for a connection.
test('a pool that is retired with a queue survives the end of a connection and refused ones', async t => {
	const arrived: net.Socket[] = [];
	const target = await startRawTarget(t, ({socket}) => {
		arrived.push(socket);
	});
	const connect = undici.buildConnector({});
	const openings: Array<(error?: Error) => void> = [];
	const pool = createRetirablePool(
		new undici.Pool(`http://${target.address}`, {
			connections: 2,
			pipelining: 1,
			connect(options, callback) {
				openings.push(error => {
					if (error) {
						callback(error, null);
					} else {
						connect(options, callback);
					}
				});
			},
		}),
	);
	t.teardown(async () => pool.destroy());
	const busy = send(pool);
	openings[0]!();
	while (arrived.length === 0) {
		await timersPromises.setTimeout(1);
	}

	const connecting = send(pool);
	const queued = send(pool);
	pool.retire();
	openings[1]!(new Error('refused'));
	t.is(await connecting, 'refused');
	arrived[0]!.write('HTTP/1.1 204 No Content\r\n\r\n');
	t.is(await busy, 'answered');
	await timersPromises.setTimeout(SOCKET_MS);
	openings[2]!(new Error('refused again'));
	t.is(await queued, 'refused again');
	await timersPromises.setTimeout(SOCKET_MS);
	await target.waitUntilClosed();
});

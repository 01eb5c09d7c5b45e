import * as stream from 'node:stream';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';
import * as platformStandIn from '@bilberrydoor/platform/stand-in';
import test from 'ava';
import * as undici from 'undici';
import {startFleet, waitUntil, type RunningNode} from './fleet-harness.js';

const KEY = 'key-of-the-ward-office';
const RATE = 5;

/** A bound whose slack is small, so that a few calls exceed it. */
const BOUNDS = ['grace_s=6', 'retry_budget_ratio=1.2', 'quota_window_s=5', 'quota_overrun=0.1', 'quota_slack=20'];

/** Time without calls in which the nodes register, agree on the holders, and the burst fills. */
const SETTLE_MS = 8000;

const CALL_COUNT = 150;
const UNFINISHED_COUNT = 20;

const send = async (node: RunningNode, requestId: string, body?: AsyncIterable<Uint8Array>) => {
	const response = await undici.request(`${node.frontUrl}/unsafe/x`, {
		method: 'POST',
		headers: {
			host: 'malipo.example',
			authorization: `Bearer ${KEY}`,
			[platform.PLATFORM_DIALECT.requestIdHeader]: requestId,
		},
		body: body ? stream.Readable.from(body) : 'clearance',
		headersTimeout: 5000,
	});
	await response.body.dump();
	return response;
};

/** A body of which only the first bytes arrive. */
async function* sendFirstBytes(signal: AbortSignal): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(10);
	try {
		await timersPromises.setTimeout(60_000, undefined, {signal});
	} catch {
		// The test is over.
	}
}

// Load: 150 calls at once at three processes. Guards against quotas that hold for each node by itself, and against refusals that
// wait for bodies or do not say when to come back.
test('three processes together admit no more calls than the bound, and refuse the others with 429 and Retry-After', async t => {
	const {nodes, targets, store} = await startFleet(t, {nodes: 3, targets: 3, bounds: BOUNDS});
	store.write(platformStandIn.OPERATOR_TOPIC, 'config', {
		...platformStandIn.buildConfigRecord(2, ['malipo']),
		tenants: [{name: 'ward-office', api_keys: [KEY], rate_per_s: RATE, burst: RATE}],
	});
	await waitUntil(() => nodes.every(node => node.listEvents(core.LogEvent.CatalogueInForce).length > 1));
	await timersPromises.setTimeout(SETTLE_MS);
	const startedAtMs = performance.now();
	const responses = await Promise.all(
		Array.from({length: CALL_COUNT}, async (_, index) => send(nodes[index % nodes.length]!, `call-${index}`)),
	);
	const elapsedS = (performance.now() - startedAtMs) / 1000;
	const refused = responses.filter(({statusCode}) => statusCode === 429);
	const ranCount = targets.flatMap(({runIds}) => runIds).length;
	t.true(ranCount > 0);
	t.true(ranCount <= (RATE * elapsedS + RATE) * 1.1 + 20, `${ranCount} calls ran in ${elapsedS} s`);
	t.true(refused.length > 0);
	t.true(refused.every(({headers}) => Number(headers['retry-after']) > 0));

	// Right after the calls above there are fewer tokens than these calls need. Those that are admitted wait for their bodies.
	const controller = new AbortController();
	const unfinished = await Promise.any(
		Array.from({length: UNFINISHED_COUNT}, async (_, index) => {
			const {statusCode} = await send(nodes[0]!, `unfinished-${index}`, sendFirstBytes(controller.signal));
			if (statusCode !== 429) {
				throw new Error(`status ${statusCode}`);
			}

			return `unfinished-${index}`;
		}),
	);
	controller.abort();
	await waitUntil(() =>
		nodes[0]!
			.listEvents(core.LogEvent.CallEnded)
			.some(
				({requestId, reason, workspace}) =>
					requestId === unfinished && reason === 'quota-exceeded' && workspace === 'ward-office',
			),
	);
	t.false(nodes.some(({lines}) => lines.some(line => line.includes(KEY))));
});

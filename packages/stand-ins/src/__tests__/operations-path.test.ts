import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as timersPromises from 'node:timers/promises';
import test from 'ava';
import * as undici from 'undici';
import {type LaunchedFleet, launchFleet} from '../launch/launch-fleet.js';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const NODE_COUNT = 3;
const POLL_MS = 20;

const request = async (address: string, pathname: string, options: Parameters<typeof undici.request>[1] = {}) => {
	const reply = await undici.request(`http://${address}${pathname}`, options);
	return {status: reply.statusCode, headers: reply.headers, body: (await reply.body.json()) as Record<string, unknown>};
};

/** Publishes an entry for single work and waits until every node can mint operation ids for it. */
const publishSingleWorkEntry = async (fleet: LaunchedFleet) => {
	const entryFile = path.join(fleet.directory, 'malipo.jsonc');
	const entry = {
		schemaVersion: 1,
		service: 'malipo',
		owner: 'drainage',
		routes: [{pathPrefix: '/malipo/clearances', methods: ['POST'], repeatability: 'single'}],
		targets: [{targetId: 'malipo-01', address: fleet.targets[0]!.address, ...PLACE, slotCount: 4}],
	};
	await fs.writeFile(entryFile, JSON.stringify(entry));
	const applied = await fleet.runCli(['catalogue', 'apply', entryFile]);
	for (const node of fleet.nodes) {
		const mint = async () => request(node.front, '/-/operations', {method: 'POST', body: '{"service":"malipo"}'});
		for (let minted = await mint(); minted.status !== 201; minted = await mint()) {
			await timersPromises.setTimeout(POLL_MS);
		}
	}

	return applied;
};

const submit = async (address: string, operationId?: string, body = 'drain 17') =>
	request(address, '/malipo/clearances', {
		method: 'POST',
		body,
		headers: {'x-operation': 'mark-17', ...(operationId !== undefined && {'operation-id': operationId})},
	});

// Guards against adapters that lose an operation id, an ending or a record in the front, in peer messages or at hand-over.
test('an operation keeps its ending on all nodes and after the planned stop of its executor', async t => {
	const fleet = await launchFleet({
		nodePlaces: Array.from({length: NODE_COUNT}, () => PLACE),
		targets: [{...PLACE, targetId: 'malipo-01', serviceTimeMs: 5, fault: 'none'}],
	});
	try {
		await fleet.waitUntilReady();
		const applied = await publishSingleWorkEntry(fleet);
		t.is(applied.exitCode, 0);
		const [first, second] = fleet.nodes.map(node => node.front);
		const refused = await submit(first!);
		t.is(refused.status, 428);
		t.is(refused.headers['bilberrydoor-outcome'], 'not-run');
		const operationId = String(refused.headers['operation-id']);
		const answered = await submit(second!, operationId);
		t.is(answered.headers['bilberrydoor-outcome'], 'completed');
		t.like(answered.body, {operation: 'mark-17', receivedBytes: 8});

		const executorAddress = operationId.split('~')[2];
		const executor = fleet.nodes.find(node => node.peer === executorAddress)!;
		const remainingNodes = fleet.nodes.filter(node => node !== executor);
		const shown = await fleet.runCli(['operations', 'show', operationId, 'default']);
		t.is(shown.exitCode, 0);
		t.regex(shown.output, /state: completed/);
		const hidden = await fleet.runCli(['operations', 'show', operationId, 'another-workspace']);
		t.notRegex(hidden.output, /state: completed/);
		t.is(await executor.process.stop('SIGTERM'), 0);
		for (const node of remainingNodes) {
			const repeated = await submit(node.front, operationId);
			t.is(repeated.headers['bilberrydoor-outcome'], 'completed');
			t.deepEqual(repeated.body, answered.body);
			const other = await submit(node.front, operationId, 'drain 18');
			t.is(other.status, 422);
			const statusReply = await request(node.front, `/-/operations/${operationId}`);
			t.like(statusReply.body, {state: 'completed', outcome: 'completed', answerStatus: 200});
		}

		const [remainingNode] = remainingNodes;
		const minted = await request(remainingNode!.front, '/-/operations', {
			method: 'POST',
			body: JSON.stringify({path: '/malipo/clearances', method: 'POST', count: 3}),
		});
		t.is(minted.status, 201);
		const {operationIds} = minted.body as {operationIds: string[]};
		t.is(new Set(operationIds).size, 3);
		const executions = await request(fleet.targets[0]!.address, '/executions');
		t.deepEqual(executions.body, {'mark-17': 1});
	} finally {
		await fleet.stop();
	}
});

// Guards against a batch request that is accepted although it does not specify which ids to mint.
test('an invalid request for a batch of operation ids is refused', async t => {
	const fleet = await launchFleet({nodePlaces: [PLACE]});
	try {
		await fleet.waitUntilReady();
		const post = async (body: string) => request(fleet.nodes[0]!.front, '/-/operations', {method: 'POST', body});
		const statuses = await Promise.all(
			['', '{}', '{"service":"malipo","count":0}', '{"path":"/none","method":"GET"}', '{"service":"none"}'].map(
				async body => {
					const {status} = await post(body);
					return status;
				},
			),
		);
		t.deepEqual(statuses, [400, 400, 400, 404, 503]);
		const statusReply = await request(fleet.nodes[0]!.front, '/-/operations/unknown');
		t.is(statusReply.status, 400);
		t.like(statusReply.body, {outcome: 'unknown', reason: 'operation-id-invalid'});
	} finally {
		await fleet.stop();
	}
});

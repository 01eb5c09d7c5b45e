import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildProgram} from '../build-program.js';

const ENTRY_HOST = '127.0.0.1';
const DISPATCHER_HOST = '127.0.0.2';

const TARGET: core.TargetExplanation = {
	targetId: 'malipo-1',
	availabilityZone: 'kinondoni',
	standing: core.GrantStanding.Sound,
	openCount: 1,
	slotCount: 4,
	cost: 0.35,
	isPermitted: true,
};

const buildExplanation = (isDispatcher: boolean): core.CallExplanation => ({
	nodeId: isDispatcher ? 'edge-2' : 'edge-1',
	region: 'pwani',
	availabilityZone: 'kinondoni',
	catalogueVersion: 4,
	match: core.RouteMatchKind.None,
	isKeyNeeded: false,
	services: [
		{
			service: 'malipo',
			weight: 1,
			regions: [
				{
					region: 'pwani',
					isOwnRegion: true,
					waitLimitMs: 240,
					dispatcher: {nodeId: 'edge-2', address: `${DISPATCHER_HOST}:7200`, isThisNode: isDispatcher},
					group: isDispatcher ? {predictedWaitMs: 12, waitingCount: 3, targets: [TARGET]} : undefined,
				},
			],
		},
	],
});

const listen = async (server: http.Server, host: string, port: number): Promise<number> => {
	await new Promise<void>(resolve => {
		server.listen(port, host, resolve);
	});
	return (server.address() as net.AddressInfo).port;
};

/** Serves the explanations of an entry node and of the dispatcher of its group on the same port of two loopback addresses. */
const startNodes = async () => {
	const urls: string[] = [];
	const [entry, dispatcher] = [false, true].map(isDispatcher =>
		http.createServer((request, response) => {
			urls.push(request.url ?? '');
			response.end(JSON.stringify(buildExplanation(isDispatcher)));
		}),
	);
	const port = await listen(entry!, ENTRY_HOST, 0);
	await listen(dispatcher!, DISPATCHER_HOST, port);
	return {
		port,
		urls,
		close() {
			entry!.close();
			dispatcher!.close();
		},
	};
};

// Guards against a node's own view of a group that another node dispatches.
test('explain-call asks the dispatcher of each group for its targets', async t => {
	const nodes = await startNodes();
	const result = {output: '', exitCode: -1};
	const program = buildProgram({
		writeOutput(text) {
			result.output += text;
		},
		writeError(text) {
			result.output += text;
		},
		finish(exitCode) {
			result.exitCode = exitCode;
		},
	});
	const args = ['explain-call', 'gateway.example', '/clearances/17', '--workspace', 'depot-7'];
	await program.parseAsync(['--node', `http://${ENTRY_HOST}:${nodes.port}`, ...args], {from: 'user'});
	nodes.close();
	t.is(nodes.urls.length, 2);
	// The dispatcher explains its targets for the node at which the request arrives.
	t.is(nodes.urls[1], `${nodes.urls[0]}&entryNode=edge-1&entryRegion=pwani&entryZone=kinondoni`);
	t.true(nodes.urls[0]!.includes('workspace=depot-7'));
	t.regex(result.output, /dispatcher edge-2/);
	t.regex(result.output, /malipo-1\s+kinondoni\s+sound\s+1\/4\s+0\.35\s+true/);
	t.regex(result.output, /predicted wait 12 ms, 3 waiting/);
});

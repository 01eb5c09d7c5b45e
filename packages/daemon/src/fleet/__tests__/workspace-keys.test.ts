import * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';
import test, {type ExecutionContext} from 'ava';
import {startFleet, waitUntil, type RunningNode} from './fleet-harness.js';
import {connectRawCaller} from './raw-caller.js';
import type {StandInTarget} from './stand-in-target.js';

const {PLATFORM_DIALECT: dialect} = platform;

const KEY = 'k7rf2wq9d3xz6n1v';
const SECOND_KEY = 'p4ta8me2yc5hj0bs';
const UNKNOWN_KEY = 'q0wn6sz1lu8ri3ge';
const TENANTS = [
	{name: 'ward-office', api_keys: [KEY, SECOND_KEY], priority: 1, rate_per_s: 0, burst: 0},
	{name: 'depot', api_keys: ['d9eu4fb7ko2mx5ta'], priority: 2},
	{name: 'unreadable', api_keys: 'n3gy8vd1wc6pi0lq'},
];

type Answer = {readonly status: number; readonly headers: http.IncomingHttpHeaders};

/** Sends a request with exactly the given header lines, which a fetch client would join or refuse. */
const request = async (
	node: RunningNode,
	requestId: string,
	lines: readonly string[],
	given: {path?: string; agent?: http.Agent} = {},
): Promise<Answer> =>
	new Promise((resolve, reject) => {
		const basic = ['Host', 'malipo.example', dialect.requestIdHeader, requestId, dialect.remainingMsHeader, '4000'];
		const outgoing = http.request(
			`${node.frontUrl}${given.path ?? '/safe/x'}`,
			{headers: [...basic, ...lines], agent: given.agent},
			incoming => {
				incoming.resume();
				incoming.on('end', () => {
					resolve({status: incoming.statusCode!, headers: incoming.headers});
				});
			},
		);
		outgoing.on('error', reject);
		outgoing.end();
	});

const startKeyedFleet = async (t: ExecutionContext) => {
	const fleet = await startFleet(t, {nodes: 2, targets: 1});
	const publishTenants = async (version: number, tenants: readonly unknown[]): Promise<void> => {
		fleet.publishCatalogue(version, ['malipo'], {tenants, publicKinds: ['upload']});
		const isInForce = (node: RunningNode): boolean =>
			node.listEvents(core.LogEvent.CatalogueInForce).some(event => event.version === version);
		await waitUntil(() => fleet.nodes.every(node => isInForce(node)));
	};

	await publishTenants(2, TENANTS);
	return {...fleet, publishTenants};
};

const listReceived = (target: StandInTarget, requestId: string): string[] =>
	(target.arrivedHeaders.get(requestId) ?? []).map(text => text.toLowerCase());

const REFUSED_CREDENTIALS: ReadonlyArray<{readonly name: string; readonly lines: readonly string[]}> = [
	{name: 'no key', lines: []},
	{name: 'an unknown key', lines: ['Authorization', `Bearer ${UNKNOWN_KEY}`]},
	{name: 'a key of an entry that cannot be read', lines: ['Authorization', 'Bearer n3gy8vd1wc6pi0lq']},
	{name: 'the start of a key', lines: ['Authorization', `Bearer ${KEY.slice(0, -1)}`]},
	{name: 'a key with a suffix', lines: ['Authorization', `Bearer ${KEY}x`]},
	{name: 'a key without a scheme', lines: ['Authorization', KEY]},
	{name: 'a key of another scheme', lines: ['Authorization', `Basic ${KEY}`]},
	{name: 'two keys in one line', lines: ['Authorization', `Bearer ${KEY} ${SECOND_KEY}`]},
	{name: 'two lines with the same key', lines: ['Authorization', `Bearer ${KEY}`, 'authorization', `Bearer ${KEY}`]},
	{name: 'an empty key', lines: ['Authorization', 'Bearer ']},
	{name: 'the name of a workspace', lines: ['X-Tenant-Id', 'ward-office']},
];

// Guards against calls that run without a key of a workspace.
test('calls without exactly one known key get 401 and reach no target', async t => {
	const {nodes, targets} = await startKeyedFleet(t);
	const refused = await Promise.all(
		REFUSED_CREDENTIALS.map(async ({lines}, index) => request(nodes[0]!, `refused-${index}`, lines)),
	);
	t.deepEqual(
		refused.map(({status}, index) => [REFUSED_CREDENTIALS[index]!.name, status]),
		REFUSED_CREDENTIALS.map(({name}) => [name, 401]),
	);
	t.deepEqual(targets[0]!.arrivedIds, []);
	t.is(refused[0]!.headers['www-authenticate'], 'Bearer');
	t.is((await request(nodes[0]!, 'unknown-route', [], {path: '/nowhere/'})).status, 404);
});

// Guards against a refusal that waits for a body which the caller may never send.
test('a call without a key is refused before its body arrives', async t => {
	const {nodes} = await startKeyedFleet(t);
	const caller = await connectRawCaller(t, nodes[0]!);
	caller.send('POST /unsafe/x HTTP/1.1\r\nHost: malipo.example\r\nContent-Length: 900000\r\n\r\n');
	await waitUntil(() => caller.received().startsWith('HTTP/1.1 401 '));
	t.pass();
});

// Guards against keys, or workspaces that callers name themselves, that are passed on to targets.
test('a target gets the name of the workspace, and neither the key nor what the caller put in its place', async t => {
	const {nodes, targets} = await startKeyedFleet(t);
	const lines = [
		'X-Tenant-Id',
		'depot',
		'x-tenant-id',
		'other',
		'X_Tenant_Id',
		'third',
		'authorization',
		`bearer ${KEY}`,
	];
	t.is((await request(nodes[0]!, 'known', lines)).status, 200);
	t.is((await request(nodes[1]!, 'second', ['Authorization', `Bearer ${SECOND_KEY}`])).status, 200);
	const received = listReceived(targets[0]!, 'known');
	t.deepEqual(
		received.filter((_, index) => received[index - 1]?.replaceAll('_', '-') === dialect.workspaceHeader),
		['ward-office'],
	);
	t.false(received.some(text => text === 'authorization' || text.includes(KEY)));
	t.true(listReceived(targets[0]!, 'second').includes('ward-office'));
});

// Guards against public routes that need a key, or that pass on an unknown one.
test('a public route needs no key, and passes on none', async t => {
	const {nodes, targets} = await startKeyedFleet(t);
	t.is((await request(nodes[0]!, 'no-key', ['X-Tenant-Id', 'depot'], {path: '/upload/x'})).status, 200);
	const unknown = ['Authorization', `Bearer ${UNKNOWN_KEY}`];
	t.is((await request(nodes[0]!, 'unknown', unknown, {path: '/upload/x'})).status, 200);
	const received = ['no-key', 'unknown'].flatMap(id => listReceived(targets[0]!, id));
	t.false(received.some(text => [dialect.workspaceHeader, 'authorization', 'depot'].includes(text)));
	const known = ['Authorization', `Bearer ${KEY}`];
	t.is((await request(nodes[0]!, 'known', known, {path: '/upload/x'})).status, 200);
	t.true(listReceived(targets[0]!, 'known').includes('ward-office'));
});

// Guards against a key that stays in use on a connection that was open when it was removed.
test('a removed key is refused on a kept connection, and an added one is accepted', async t => {
	const {nodes, publishTenants} = await startKeyedFleet(t);
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	t.teardown(() => {
		agent.destroy();
	});
	const send = async (requestId: string, key: string): Promise<number> =>
		(await request(nodes[0]!, requestId, ['Authorization', `Bearer ${key}`], {agent})).status;
	t.deepEqual([await send('before', KEY), await send('not-yet', UNKNOWN_KEY)], [200, 401]);
	await publishTenants(3, [{...TENANTS[0], api_keys: [SECOND_KEY, UNKNOWN_KEY]}]);
	t.deepEqual(
		[await send('removed', KEY), await send('kept', SECOND_KEY), await send('added', UNKNOWN_KEY)],
		[401, 200, 200],
	);
});

// Guards against keys in logs.
test('no log line contains a key', async t => {
	const {nodes, targets, publishTenants} = await startKeyedFleet(t);
	await request(nodes[0]!, 'served', ['Authorization', `Bearer ${KEY}`]);
	await request(nodes[0]!, 'refused', ['Authorization', `Bearer ${UNKNOWN_KEY}`]);
	await request(nodes[0]!, 'malformed', ['Authorization', `Bearer ${KEY} ${SECOND_KEY}`]);
	await publishTenants(3, [{...TENANTS[0], api_keys: [SECOND_KEY, 17], priority: KEY}]);
	const keys = [KEY, SECOND_KEY, UNKNOWN_KEY, ...TENANTS.flatMap(tenant => tenant.api_keys)];
	await waitUntil(() => nodes[0]!.lines.some(line => line.includes('"unauthenticated"')));
	t.deepEqual(
		nodes.flatMap(({lines}) => lines).filter(line => keys.some(key => line.includes(key))),
		[],
	);
	t.is(targets[0]!.arrivedIds.length, 1);
});

// Guards against a change of behaviour for deployments whose configuration has no tenants.
test('without tenants in the configuration, keys are passed on as other headers are', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	t.is((await request(nodes[0]!, 'open', ['Authorization', `Bearer ${KEY}`])).status, 200);
	t.true(listReceived(targets[0]!, 'open').includes(`bearer ${KEY}`));
});

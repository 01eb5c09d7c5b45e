import {once} from 'node:events';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import * as platformStandIn from '@bilberrydoor/platform/stand-in';
import test from 'ava';
import {send, startFleet, waitUntil, type RunningNode} from './fleet-harness.js';
import {TargetBehaviour} from './stand-in-target.js';

/** A request that is sent this long after the stop signal is still accepted. */
const LATE_REQUEST_MS = 300;

/** Longer than two heartbeats of 1.5 s, and shorter than two of 5 s. */
const OUTAGE_MS = 4000;

/** Longest time until the targets are read too, once the catalogue is. */
const REREAD_MS = 1500;

const reload = async (node: RunningNode, changes: Readonly<Record<string, unknown>>): Promise<void> => {
	const reloadCount = node.listEvents(core.LogEvent.SettingsReloaded).length;
	await node.changeSettings(changes);
	node.process.kill('SIGHUP');
	await waitUntil(() => node.listEvents(core.LogEvent.SettingsReloaded).length > reloadCount);
};

type NextStartField = Exclude<keyof platform.PlatformSettings, platform.AppliedSetting>;

/** A change of the file for each field, and the value that it gives the field. */
const NEXT_START_CHANGES: Record<
	NextStartField,
	{readonly changes: Record<string, unknown>; readonly inFile: unknown}
> = {
	nodeId: {changes: {node: 'other'}, inFile: 'other'},
	ip: {changes: {ip: '127.0.0.2'}, inFile: '127.0.0.2'},
	region: {changes: {region: 'bara'}, inFile: 'bara'},
	availabilityZone: {changes: {zone: 'temeke'}, inFile: 'temeke'},
	regionsByZone: {changes: {zones: {kinondoni: 'bara'}}, inFile: {kinondoni: 'bara'}},
	frontAddress: {changes: {listen: {front: '127.0.0.1:1', ready: '127.0.0.1:2'}}, inFile: '127.0.0.1:1'},
	readinessAddress: {changes: {listen: {front: '127.0.0.1:1', ready: '127.0.0.1:2'}}, inFile: '127.0.0.1:2'},
	peerAddress: {
		changes: {listen: {front: '127.0.0.1:1', ready: '127.0.0.1:2', control: '127.0.0.1:3'}},
		inFile: '127.0.0.1:3',
	},
	seedAddresses: {changes: {seeds: ['127.0.0.1:4']}, inFile: ['127.0.0.1:4']},
	storeAddress: {changes: {platform: {address: '127.0.0.1:5'}}, inFile: '127.0.0.1:5'},
	capacityCores: {changes: {limits: {cpu_share: 0.4, cores: 2}}, inFile: 0.8},
	memoryBytes: {changes: {limits: {memory_mb: 300}}, inFile: 314_572_800},
	descriptorLimitCount: {changes: {limits: {max_fds: 5000}}, inFile: 5000},
	readAheadLimitCount: {changes: {limits: {read_ahead_requests: 8}}, inFile: 8},
	headerLineLimitCount: {changes: {limits: {header_lines: 100}}, inFile: 100},
	stalledLimitMs: {changes: {limits: {stalled_s: 20}}, inFile: 20_000},
};

// Guards against a changed setting that a running node neither uses nor mentions.
test('each changed setting that waits for the next start is named in one warning, and the node goes on', async t => {
	const {nodes} = await startFleet(t, {nodes: 1, targets: 1});
	const node = nodes[0]!;
	for (const [changedField, {changes, inFile}] of Object.entries(NEXT_START_CHANGES)) {
		const warningCount = node.listEvents(core.LogEvent.SettingNeedsRestart).length;
		await reload(node, changes);
		const warnings = node
			.listEvents(core.LogEvent.SettingNeedsRestart)
			.slice(warningCount)
			.filter(({field}) => field === changedField);
		t.deepEqual(
			warnings.map(warning => ({level: warning.level, field: warning.field, inFile: warning.inFile})),
			[{level: 'warn', field: changedField, inFile}],
		);
		t.true(warnings.every(warning => 'inUse' in warning));
		await reload(node, {});
	}

	t.is((await send(node, 'request')).status, 200);
});

test('an invalid settings file changes nothing, and its repair is used', async t => {
	const {nodes} = await startFleet(t, {nodes: 1, targets: 1});
	const node = nodes[0]!;
	await node.changeSettings({bounds: ['grace_s=2'], zone: 17});
	node.process.kill('SIGHUP');
	await waitUntil(() => node.listEvents(core.LogEvent.ReloadFailed).length === 1);
	t.is(node.listEvents(core.LogEvent.SettingsReloaded).length, 0);
	await reload(node, {bounds: ['grace_s=2']});
	node.process.kill('SIGTERM');
	await waitUntil(() => node.listEvents(core.LogEvent.NodeStopping).length === 1);
	t.is(node.listEvents(core.LogEvent.NodeStopping)[0]?.graceMs, 2000);
});

// Guards against work that a stop cuts off, since it uses the grace time with which the node was started.
test('a stop uses a longer grace time of changed settings', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1, bounds: ['grace_s=1']});
	const node = nodes[0]!;
	await reload(node, {bounds: ['grace_s=6']});
	targets[0]!.behaviour = TargetBehaviour.Slow;
	node.process.kill('SIGTERM');
	await timersPromises.setTimeout(LATE_REQUEST_MS);
	t.is((await send(node, 'request')).status, 200);
});

// Guards against a node that is killed at work, since it plans its stop with the grace time with which it was started.
test('a stop ends within a shorter grace time of changed settings', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 1});
	const node = nodes[0]!;
	await reload(node, {bounds: ['grace_s=1.5']});
	targets[0]!.behaviour = TargetBehaviour.NoAnswer;
	const sent = send(node, 'request');
	await waitUntil(() => targets[0]!.runIds.length === 1);
	const exited = once(node.process, 'exit');
	const stoppedAtMs = performance.now();
	node.process.kill('SIGTERM');
	t.deepEqual(await exited, [0, null]);
	t.true(performance.now() - stoppedAtMs < 1500);
	t.is((await sent).status, 502);
});

/** Signals, their moments in ms, and whether the file changes before the first or before the last one. */
const SIGNAL_GAPS_MS = [0, 50, 100, 200, 300];
const SIGNAL_ORDERS = SIGNAL_GAPS_MS.flatMap(gapMs => [
	{
		name: `SIGHUP ${gapMs} ms before SIGTERM`,
		signals: ['SIGHUP', 'SIGTERM'],
		gapMs,
		isChangedFirst: true,
		graceMs: 2000,
	},
	{
		name: `SIGHUP ${gapMs} ms after SIGTERM`,
		signals: ['SIGTERM', 'SIGHUP'],
		gapMs,
		isChangedFirst: true,
		graceMs: 2000,
	},
	{
		name: `SIGHUP ${gapMs + 200} ms after SIGTERM and a change during the stop`,
		signals: ['SIGTERM', 'SIGHUP'],
		gapMs: gapMs + 200,
		isChangedFirst: false,
		graceMs: 1000,
	},
]);

// Guards against a stop that plans with other settings than those in force at its signal, and against a SIGHUP that disturbs it.
SIGNAL_ORDERS.forEach(({name, signals, gapMs, isChangedFirst, graceMs}) => {
	test(`a stop plans with the settings at its signal: ${name}`, async t => {
		const {nodes} = await startFleet(t, {nodes: 1, targets: 1, bounds: ['grace_s=1']});
		const node = nodes[0]!;
		const exited = once(node.process, 'exit');
		const change = async () => node.changeSettings({bounds: ['grace_s=2']});
		if (isChangedFirst) {
			await change();
		}

		node.process.kill(signals[0] as NodeJS.Signals);
		await timersPromises.setTimeout(gapMs);
		if (!isChangedFirst) {
			await change();
		}

		node.process.kill(signals[1] as NodeJS.Signals);
		t.deepEqual(await exited, [0, null]);
		t.deepEqual(
			node.listEvents(core.LogEvent.NodeStopping).map(event => event.graceMs),
			[graceMs],
		);
	});
});

test('a changed retry budget is in force at once, and a removed one has its default again', async t => {
	const {nodes, targets} = await startFleet(t, {nodes: 1, targets: 2, bounds: ['retry_budget_ratio=1.2']});
	const node = nodes[0]!;
	targets.forEach(target => {
		target.behaviour = TargetBehaviour.Fail;
	});
	const countRuns = async (requestId: string): Promise<number> => {
		await send(node, requestId, {method: 'GET', path: '/safe/x'});
		return targets.flatMap(({runIds}) => runIds).filter(id => id === requestId).length;
	};

	t.is(await countRuns('before'), 2);
	await reload(node, {bounds: ['retry_budget_ratio=0']});
	t.is(await countRuns('after'), 1);
	await reload(node, {bounds: []});
	const {applied} = node.listEvents(core.LogEvent.SettingsReloaded).at(-1)!;
	t.deepEqual(applied, {dispatcher: {}});
});

[
	{name: 'is not an outage after the heartbeat has become longer', changes: {heartbeat_s: 5}, isOutage: false},
	{name: 'is an outage with the heartbeat unchanged', changes: {bounds: []}, isOutage: true},
].forEach(({name, changes, isOutage}) => {
	test(`a pause of the store of ${OUTAGE_MS} ms ${name}`, async t => {
		const {nodes, store, publishCatalogue} = await startFleet(t, {nodes: 1, targets: 1});
		const node = nodes[0]!;
		await reload(node, changes);
		store.fault = platformStandIn.StoreFault.Busy;
		await timersPromises.setTimeout(OUTAGE_MS);
		store.fault = platformStandIn.StoreFault.None;
		publishCatalogue(2, ['malipo']);
		await waitUntil(() => node.listEvents(core.LogEvent.CatalogueInForce).length === 2);
		await timersPromises.setTimeout(REREAD_MS);
		t.is(node.listEvents(core.LogEvent.StoreOutageAssumed).length > 0, isOutage);
	});
});

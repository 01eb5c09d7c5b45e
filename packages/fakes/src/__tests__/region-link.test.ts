import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {buildCall, buildEntry, buildRoute, buildTargets, readText} from '../build-entry.js';
import {createFakeFleet} from '../fake-fleet.js';
import {createFakeMetrics} from '../fake-observability.js';
import {createVirtualClock} from '../virtual-clock.js';

const CHUNK_BYTES = 10_000;

const createTestLink = () => {
	const {advance, ...clock} = createVirtualClock();
	const metrics = createFakeMetrics();
	const link = core.createRegionLink({
		ports: {clock, metrics, random: {fraction: () => 0.5, token: () => ''}},
		countRegionNodes: () => 1,
		measureRoundTripMs: async () => 40,
		options: {capacityBytesPerSecond: 1_000_000},
	});
	return {link, advance, metrics};
};

/** A body that counts how often it was released. */
const createBody = (chunkCount: number) => {
	const state = {releasedCount: 0};
	const body: domain.BodyStream = {
		[Symbol.asyncIterator]() {
			let index = 0;
			return {
				async next() {
					index++;
					return index > chunkCount
						? {done: true, value: undefined}
						: {done: false, value: new Uint8Array(CHUNK_BYTES)};
				},
				async return() {
					state.releasedCount++;
					return {done: true, value: undefined};
				},
			};
		},
	};
	return {body, state};
};

const buildTransfer = (given: Partial<core.LinkTransfer> = {}): core.LinkTransfer => ({
	region: 'bara',
	direction: core.LinkDirection.Outbound,
	service: 'picha',
	workClass: domain.WorkClass.Bulk,
	linkWeight: 1,
	...given,
});

const readAll = async (body: domain.BodyStream, progress: {bytes: number}): Promise<void> => {
	for await (const frame of body) {
		progress.bytes += frame.byteLength;
	}
};

// Guards against bulk bodies that take the whole link, and against weights that have no effect.
test('paced bodies share the rate by weight, and short bodies pass at once', async t => {
	const {link, advance, metrics} = createTestLink();
	const {signal} = new AbortController();
	const transfers = [
		{service: 'light', linkWeight: 1},
		{service: 'heavy', linkWeight: 3},
		{service: 'long', linkWeight: 1, workClass: domain.WorkClass.Long},
	];
	const progress = transfers.map(() => ({bytes: 0}));
	transfers.forEach((transfer, index) => {
		void readAll(link.wrapBody(createBody(10_000).body, buildTransfer(transfer), signal), progress[index]!);
	});
	await advance(4000);
	const sum = progress.reduce((total, {bytes}) => total + bytes, 0);
	t.true(sum > 0.9 * 3_200_000 && sum < 1.02 * 3_200_000, `${sum} bytes`);
	const ratios = progress.map(({bytes}) => bytes / sum);
	[1 / 8, 3 / 8, 4 / 8].forEach((expected, index) => {
		t.true(Math.abs(ratios[index]! - expected) < 0.02, `${ratios.join(' ')}`);
	});

	const short = {bytes: 0};
	const shortBody = link.wrapBody(createBody(20).body, buildTransfer({workClass: domain.WorkClass.Short}), signal);
	void readAll(shortBody, short);
	await advance(0);
	t.is(short.bytes, 20 * CHUNK_BYTES);
	t.is(metrics.sum(core.CounterName.LinkBytes, {service: 'picha', workClass: 'short'}), 20 * CHUNK_BYTES);
	await advance(100);
	const after = progress.reduce((total, {bytes}) => total + bytes, 0);
	// The short body used the rate of 250 ms, but delays paced frames by at most 200 ms.
	t.true(after - sum < 10_000, `${after - sum} bytes`);
});

type ReleaseCase = {
	readonly name: string;
	readonly stop: (iterator: AsyncIterator<Uint8Array>, controller: AbortController) => void | Promise<void>;
	readonly isSourceReleased: boolean;
};

const RELEASE_CASES: readonly ReleaseCase[] = [
	{
		name: 'the reader stops between frames',
		async stop(iterator) {
			await iterator.return?.();
		},
		isSourceReleased: true,
	},
	{
		name: 'the reader stops while a frame waits',
		async stop(iterator) {
			const waiting = Array.from({length: 3}, async () => iterator.next());
			void Promise.allSettled(waiting);
			await iterator.return?.();
		},
		isSourceReleased: true,
	},
	{
		name: 'the call is aborted and the reader does not read again',
		stop(_iterator, controller) {
			controller.abort();
		},
		isSourceReleased: false,
	},
];

RELEASE_CASES.forEach(({name, stop, isSourceReleased}) => {
	// Guards against an abandoned body that keeps its share of the link.
	test(`a paced body releases its share of the link when ${name}`, async t => {
		const {link, advance} = createTestLink();
		const controller = new AbortController();
		const {body, state} = createBody(100);
		const iterator = link.wrapBody(body, buildTransfer(), controller.signal)[Symbol.asyncIterator]();
		await iterator.next();
		t.is(link.pacedBodyCount(), 1);
		await stop(iterator, controller);
		await advance(10);
		t.is(link.pacedBodyCount(), 0);
		t.is(state.releasedCount > 0, isSourceReleased);
	});
});

// Guards against a partial body that a reader treats as complete.
test('a paced body that is aborted ends with an error', async t => {
	const {link} = createTestLink();
	const controller = new AbortController();
	const iterator = link.wrapBody(createBody(100).body, buildTransfer(), controller.signal)[Symbol.asyncIterator]();
	await iterator.next();
	controller.abort();
	await t.throwsAsync(async () => iterator.next());
});

const NEAR = {region: 'pwani', availabilityZone: 'temeke'};
const FAR = {region: 'bara', availabilityZone: 'morogoro'};

// Guards against bodies that cross the link uncounted, in either direction.
test('a call to another region counts its bodies by service and class', async t => {
	const fleet = createFakeFleet();
	const entryNode = fleet.startNode({address: 'near:1', ...NEAR});
	fleet.startNode({address: 'far:1', ...FAR});
	const entry = buildEntry({
		service: 'picha',
		routes: [buildRoute({workClass: domain.WorkClass.Bulk})],
		targets: buildTargets({service: 'picha', count: 1, slotCount: 1, places: [FAR]}),
	});
	fleet.addTargets(entry);
	const target = fleet.targets.get('picha-1')!;
	const {serve} = target;
	target.serve = async (request, signal) => {
		await readText(request.body!);
		return serve(request, signal);
	};

	await fleet.publishEntry(entry);
	const controller = new AbortController();
	const {body} = createBody(1);
	const call = buildCall({method: 'POST', body});
	const ending = await fleet.clock.runUntilSettled(entryNode.node.handleCall(call, controller.signal), 5000);
	const {answer} = ending as domain.CompletedEnding;
	const text = await fleet.clock.runUntilSettled(readText(answer.body), 1000);
	const countedBytes = entryNode.metrics.sum(core.CounterName.LinkBytes, {service: 'picha', workClass: 'bulk'});
	t.is(countedBytes, CHUNK_BYTES + text.length);
	t.is(entryNode.node.link.pacedBodyCount(), 0);
});

// Guards against a bulk body that is sent again or in part across the link after a failure during its transfer.
test('a call whose body was read is not retried through another node', async t => {
	const fleet = createFakeFleet();
	const entryNode = fleet.startNode({address: 'near:1', ...NEAR});
	const farNodes = ['far:1', 'far:2'].map(address => fleet.startNode({address, ...FAR}));
	const entry = buildEntry({
		service: 'picha',
		routes: [buildRoute({workClass: domain.WorkClass.Bulk})],
		targets: buildTargets({service: 'picha', count: 1, slotCount: 1, places: [FAR]}),
	});
	fleet.addTargets(entry);
	await fleet.publishEntry(entry);
	const target = fleet.targets.get('picha-1')!;
	target.serve = async request => {
		await request.body![Symbol.asyncIterator]().next();
		farNodes.forEach(node => {
			node.host.kill();
		});
		return new Promise(() => {
			// Never answers.
		});
	};

	const call = buildCall({method: 'POST', body: createBody(3).body});
	const ending = await fleet.clock.runUntilSettled(
		entryNode.node.handleCall(call, new AbortController().signal),
		10_000,
	);
	t.is(ending.outcome, domain.Outcome.Unknown);
	t.is(entryNode.metrics.sum(core.CounterName.Retries), 0);
});

import * as core from '@bilberrydoor/core';
import test from 'ava';
import {FakeTargetFault} from '../fake-target.js';
import {createVirtualClock} from '../virtual-clock.js';
import {buildBenchEntry, createSchedulerBench, summarizeEnding} from './scheduler-bench.js';

async function* createBody(sizeBytes: number): AsyncGenerator<Uint8Array> {
	yield new Uint8Array(sizeBytes);
}

// Guards against bodies that are truncated, sent twice in part, or buffered without a limit for resending.
[
	{sizeBytes: 60_000, expected: 'completed 200', arrivedSizes: [60_000, 60_000]},
	{sizeBytes: 70_000, expected: 'unknown target-lost', arrivedSizes: [70_000]},
].forEach(({sizeBytes, expected, arrivedSizes}) => {
	test(`retry of work with a body of ${sizeBytes} bytes`, async t => {
		const bench = createSchedulerBench(buildBenchEntry());
		await bench.settle(Promise.all([bench.schedule(), bench.schedule()]));
		bench.targets.forEach(target => {
			target.fault = bench.targets.every(other => other.receivedBodySizes.length === 0)
				? FakeTargetFault.LoseAnswers
				: FakeTargetFault.None;
		});
		const call = bench.schedule({call: {method: 'POST', body: createBody(sizeBytes), bodyLengthBytes: sizeBytes}});
		await bench.clock.advance(5);
		bench.targets
			.filter(target => target.receivedBodySizes.length === 0)
			.forEach(target => {
				target.fault = FakeTargetFault.None;
			});
		t.is(summarizeEnding(await bench.settle(call)), expected);
		t.deepEqual(
			bench.targets.flatMap(target => target.receivedBodySizes),
			arrivedSizes,
		);
		await bench.close();
	});
});

// Guards against a slot that a slow caller holds although the target has sent its whole answer.
test('a caller that does not read a small answer holds no slot', async t => {
	const bench = createSchedulerBench(buildBenchEntry());
	t.is(summarizeEnding(await bench.settle(bench.schedule({isBodyUnread: true}))), 'completed 200');
	await bench.clock.advance(1);
	t.true(bench.scheduler.describeTargets().every(target => target.busySlotCount === 0));
	t.is(bench.scheduler.activeCallCount(), 1);
	await bench.close();
});

// Guards against an answer that is buffered completely for a caller that does not read.
test('reading ahead stops at its limit until the reader continues', async t => {
	let readCount = 0;
	async function* createChunks(): AsyncGenerator<Uint8Array> {
		for (; readCount < 10; readCount++) {
			yield new Uint8Array(100);
		}
	}

	const clock = createVirtualClock();
	const body = core.readAhead(createChunks(), 300);
	await clock.advance(1);
	t.true(readCount <= 3);
	let sizeBytes = 0;
	for await (const chunk of body) {
		sizeBytes += chunk.byteLength;
	}

	t.is(sizeBytes, 1000);
});

// Guards against a process that exits because a source fails while it is closed.
test('closing a body whose source fails has no effect', async t => {
	const failing: AsyncIterator<Uint8Array> = {
		next: async () => ({done: true, value: undefined}),
		async return() {
			throw new Error('the connection has gone');
		},
	};
	await t.notThrowsAsync(core.closeBody(failing));
});

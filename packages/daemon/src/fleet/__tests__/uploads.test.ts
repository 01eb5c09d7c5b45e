import {Buffer} from 'node:buffer';
import process from 'node:process';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {startUploadPath, upload, waitUntilSettled} from './upload-path.js';
import {digestBody} from './upload-target.js';

const LARGEST_BODY = Buffer.alloc(60_000_000, 'the largest photo of all');
const LARGE_BODY = LARGEST_BODY.subarray(0, 2_000_000);

// Guards against a length that is lost on the way, without which a target cannot tell a broken body from a whole one.
[
	{name: '60 MB with a length', body: LARGEST_BODY, isChunked: false, contentLength: '60000000', encoding: undefined},
	{name: '2 MB in chunks', body: LARGE_BODY, isChunked: true, contentLength: undefined, encoding: 'chunked'},
].forEach(({name, body, isChunked, contentLength, encoding}) => {
	test(`an upload of ${name} arrives with the same framing`, async t => {
		const path = await startUploadPath(t, {});
		const answer = await upload(path, {requestId: 'upload', body, isChunked, deadlineMs: 60_000}).answered;
		t.is(answer.text, digestBody(body));
		const {headers} = path.targets[0]!.exchanges[0]!.incoming;
		t.is(headers['content-length'], contentLength);
		t.is(headers['transfer-encoding'], encoding);
	});
});

const INCOMPLETE_UPLOADS = [
	{name: 'has fewer bytes than announced', announcedBytes: 3_000_000},
	{name: 'exceeds the limit', isChunked: true, bodyLimitBytes: 1_000_000},
];

// Guards against a body that is taken for whole although the caller did not send it whole, and a target that is blamed for it.
INCOMPLETE_UPLOADS.forEach(({name, bodyLimitBytes, ...options}) => {
	test(`an upload that ${name} is broken off at the target`, async t => {
		const path = await startUploadPath(t, {bodyLimitBytes});
		const sent = upload(path, {requestId: 'upload', body: LARGE_BODY, ...options});
		const [target] = path.targets;
		const leaveTimer = setTimeout(sent.leave, 500);
		const {status} = await sent.answered;
		clearTimeout(leaveTimer);
		await waitUntilSettled(path);
		t.is(status, options.announcedBytes === undefined ? 502 : 0);
		t.deepEqual(
			target!.exchanges.map(({digest, isBroken}) => ({digest, isBroken})),
			[{digest: undefined, isBroken: true}],
		);
		t.deepEqual(path.results, [core.GrantResult.Cancelled]);
	});
});

// Guards against an attempt that is cancelled as slow although no other attempt can send the body.
test('a slow upload that cannot be sent again is not replaced', async t => {
	const path = await startUploadPath(t, {
		usualDurationMs: 1,
		route: {repeatability: domain.Repeatability.Repeatable, latencyObjectiveMs: 100, attemptLimit: 3},
	});
	const [target] = path.targets;
	target!.isHolding = true;
	setTimeout(target!.release, 300);
	const answer = await upload(path, {requestId: 'upload', body: LARGE_BODY}).answered;
	t.is(answer.status, 200);
	t.deepEqual(
		path.targets.map(({exchanges}) => exchanges.length),
		[1, 0, 0],
	);
});

const UPLOAD_COUNT = 50;
/** Held bytes and the buffers of streams and connections, for each upload. */
const UPLOAD_MEMORY_BYTES = 1_500_000;
/** Uploads that are sent to their end after the memory was measured. */
const COMPLETED_COUNT = 5;

const readMemoryBytes = (): number => {
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

// Guards against bodies that fill the memory of a node while their targets read slowly.
test.serial('50 uploads at once hold a bounded part of their bodies', async t => {
	const path = await startUploadPath(t, {targetCount: 1, proxy: {connectionsPerTarget: UPLOAD_COUNT}});
	const [target] = path.targets;
	target!.onProgress = ({incoming}) => {
		incoming.pause();
	};

	const startBytes = readMemoryBytes();
	const body = LARGEST_BODY.subarray(0, 10_000_000);
	const uploads = Array.from({length: UPLOAD_COUNT}, (_, index) =>
		upload(path, {requestId: `upload-${index}`, body, deadlineMs: 60_000}),
	);
	let largestBytes = 0;
	const sampler = setInterval(() => {
		largestBytes = Math.max(largestBytes, readMemoryBytes());
	}, 10);
	while (target!.exchanges.length < UPLOAD_COUNT) {
		await timersPromises.setTimeout(10);
	}

	await timersPromises.setTimeout(300);
	clearInterval(sampler);
	const growthBytes = largestBytes - startBytes;
	t.true(growthBytes < UPLOAD_COUNT * UPLOAD_MEMORY_BYTES, `${growthBytes} bytes`);
	target!.onProgress = () => undefined;
	target!.exchanges.forEach(({incoming}) => {
		incoming.resume();
	});
	uploads.slice(COMPLETED_COUNT).forEach(({leave}) => {
		leave();
	});
	const answers = await Promise.all(uploads.map(async ({answered}) => answered));
	t.deepEqual(new Set(answers.map(({text}) => text)), new Set([digestBody(body), '']));
	t.is(answers.filter(({status}) => status === 200).length, COMPLETED_COUNT);
});

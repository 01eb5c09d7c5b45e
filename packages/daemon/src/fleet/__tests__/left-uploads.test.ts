import {Buffer} from 'node:buffer';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {startUploadPath, upload, waitUntilSettled, type Upload} from './upload-path.js';

const SIZES_BYTES = [0, 1, 360_000, 524_288, 670_000, 700_000, 2_000_000, 60_000_000];

/** Calls wait this long for a slot. */
const WAIT_MS = 900;

/** Time after a caller's close from which its call may not reach a target any more. */
const GONE_LIMIT_MS = 500;

/** When the callers leave. */
enum Moment {
	BeforeLastByte = 'before the last byte',
	Waiting = 'while the call waits',
	AtGrant = 'at the grant',
}

/** Delays of the leaving, in ms: from the start of the upload before its last byte, else from the begin of the call's wait. */
const LEAVE_DELAYS_MS: Record<Moment, number> = {
	[Moment.BeforeLastByte]: 100,
	[Moment.Waiting]: 200,
	[Moment.AtGrant]: WAIT_MS - 5,
};

const WAYS: Record<string, (caller: Upload) => void> = {
	close(caller) {
		caller.leave();
	},
	reset(caller) {
		caller.reset();
	},
};

const CASES = SIZES_BYTES.flatMap(sizeBytes =>
	Object.values(Moment).flatMap(moment => Object.keys(WAYS).map(way => ({sizeBytes, moment, way}))),
).filter(({sizeBytes, moment}) => sizeBytes > 1 || moment !== Moment.BeforeLastByte);

// Guards against single work that runs for callers that have left, since their close is behind the unread rest of a body.
CASES.forEach(({sizeBytes, moment, way}) => {
	test(`an upload of ${sizeBytes} bytes whose caller leaves ${moment} with a ${way} does not run later`, async t => {
		const path = await startUploadPath(t, {targetCount: 1});
		const waitBegins = new Promise<void>(resolve => {
			path.beforeGrant = async () => {
				resolve();
				await timersPromises.setTimeout(WAIT_MS);
			};
		});
		const lateIds: string[] = [];
		let leftAtMs = Number.POSITIVE_INFINITY;
		path.targets[0]!.onProgress = ({requestId, receivedBytes}) => {
			if (receivedBytes <= 1 && performance.now() - leftAtMs > GONE_LIMIT_MS) {
				lateIds.push(requestId);
			}
		};

		const body = Buffer.alloc(sizeBytes, 'photo');
		const caller = upload(path, {
			requestId: 'upload',
			body,
			async afterPart(sentBytes) {
				if (moment === Moment.BeforeLastByte && sentBytes + 65_536 >= sizeBytes) {
					await timersPromises.setTimeout(LEAVE_DELAYS_MS[moment] * 2);
				}
			},
		});
		if (moment !== Moment.BeforeLastByte) {
			await waitBegins;
		}

		await timersPromises.setTimeout(LEAVE_DELAYS_MS[moment]);
		WAYS[way]!(caller);
		leftAtMs = performance.now();
		t.is((await caller.answered).status, 0);
		await timersPromises.setTimeout(WAIT_MS + GONE_LIMIT_MS);
		t.deepEqual(lateIds, []);
	});
});

// Guards against callers that are taken for gone, and against a slot that a caller's leaving makes a failure of the target.
SIZES_BYTES.forEach(sizeBytes => {
	test(`an upload of ${sizeBytes} bytes whose caller stays is sent after the wait and answered`, async t => {
		const path = await startUploadPath(t, {targetCount: 1});
		path.beforeGrant = async () => timersPromises.setTimeout(WAIT_MS);
		const body = Buffer.alloc(sizeBytes, 'photo');
		const {status} = await upload(path, {requestId: 'upload', body, deadlineMs: 60_000}).answered;
		await waitUntilSettled(path);
		t.is(status, 200);
		t.deepEqual(path.results, [core.GrantResult.Success]);
	});
});

import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as platform from '@bilberrydoor/platform';
import test, {type ExecutionContext} from 'ava';
import {pauseThread, startUploadPath, upload} from './upload-path.js';
import {digestBody} from './upload-target.js';

const {PLATFORM_DIALECT: dialect} = platform;

/** Bytes of an answer's body that the target sends before it is disturbed. */
enum Cut {
	AfterHead = 'after the head',
	FirstByte = 'at the first byte',
	BelowBufferLimit = 'one byte below the buffer limit',
	AtBufferLimit = 'at the buffer limit',
	AboveBufferLimit = 'one byte above the buffer limit',
	LastByte = 'at the last byte',
	BeforeLastChunk = 'after the last byte',
}

enum Cause {
	Reset = 'the target resets',
	End = 'the target ends its connection',
	Stall = 'the target stalls beyond the deadline',
	NodePaused = 'the node is paused',
}

const BUFFER_LIMIT_BYTES = 262_144;
const SIZES_BYTES = [1, 360_000, 2_000_000];
const DEADLINE_MS = 120;
const LONG_DEADLINE_MS = 5000;
/** Time for the node to read what the target has sent. */
const READ_MS = 20;

const CUT_BYTES: Record<Cut, (sizeBytes: number) => number | undefined> = {
	[Cut.AfterHead]: () => 0,
	[Cut.FirstByte]: sizeBytes => (sizeBytes > 1 ? 1 : undefined),
	[Cut.BelowBufferLimit]: sizeBytes => (sizeBytes > BUFFER_LIMIT_BYTES ? BUFFER_LIMIT_BYTES - 1 : undefined),
	[Cut.AtBufferLimit]: sizeBytes => (sizeBytes > BUFFER_LIMIT_BYTES ? BUFFER_LIMIT_BYTES : undefined),
	[Cut.AboveBufferLimit]: sizeBytes => (sizeBytes > BUFFER_LIMIT_BYTES ? BUFFER_LIMIT_BYTES + 1 : undefined),
	[Cut.LastByte]: sizeBytes => (sizeBytes > 1 ? sizeBytes - 1 : undefined),
	[Cut.BeforeLastChunk]: sizeBytes => sizeBytes,
};

/** Writes the whole rest of the answer, or nothing more. */
type Disturbance = (socket: net.Socket, finish: () => void) => Promise<void> | void;

const CAUSES: Record<Cause, {readonly deadlineMs: number; readonly isServed: boolean; readonly disturb: Disturbance}> =
	{
		[Cause.Reset]: {
			deadlineMs: LONG_DEADLINE_MS,
			isServed: false,
			disturb(socket) {
				socket.resetAndDestroy();
			},
		},
		[Cause.End]: {
			deadlineMs: LONG_DEADLINE_MS,
			isServed: false,
			disturb(socket) {
				socket.end();
			},
		},
		[Cause.Stall]: {deadlineMs: DEADLINE_MS, isServed: false, disturb: () => undefined},
		[Cause.NodePaused]: {
			deadlineMs: LONG_DEADLINE_MS,
			isServed: true,
			disturb(_socket, finish) {
				pauseThread(READ_MS);
				finish();
			},
		},
	};

type Answer = {readonly body: Uint8Array; readonly isChunked: boolean; readonly cutBytes: number};

/** Frames a part of a body as one chunk. */
const frame = (part: Uint8Array): Uint8Array =>
	Buffer.concat([Buffer.from(`${part.byteLength.toString(16)}\r\n`), part, Buffer.from('\r\n')]);

/** Starts a server that sends an answer up to the cut and disturbs it there. */
const startCutTarget = async (t: ExecutionContext, answer: Answer, disturb: Disturbance): Promise<number> => {
	const {body, isChunked, cutBytes} = answer;
	const head = [
		'HTTP/1.1 200 OK',
		`${dialect.requestIdHeader}: upload`,
		`${dialect.signatureHeader}: signed`,
		isChunked ? 'transfer-encoding: chunked' : `content-length: ${body.byteLength}`,
		'\r\n',
	].join('\r\n');
	const framePart = (part: Uint8Array): Uint8Array => (isChunked && part.byteLength > 0 ? frame(part) : part);
	const server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', async () => {
			socket.write(head);
			socket.write(framePart(body.subarray(0, cutBytes)));
			while (socket.writableLength > 0 && !socket.destroyed) {
				await timersPromises.setTimeout(1);
			}

			await timersPromises.setTimeout(READ_MS);
			await disturb(socket, () => {
				socket.write(framePart(body.subarray(cutBytes)));
				socket.write(isChunked ? '0\r\n\r\n' : '');
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	return (server.address() as net.AddressInfo).port;
};

const runTrial = async (
	t: ExecutionContext,
	trial: {cause: Cause; cut: Cut; sizeBytes: number; isChunked: boolean},
): Promise<void> => {
	const {cause, sizeBytes, isChunked} = trial;
	const label = `${sizeBytes} bytes, ${isChunked ? 'chunks' : 'a length'}`;
	const cutBytes = CUT_BYTES[trial.cut](sizeBytes)!;
	const body = crypto.createHash('shake256', {outputLength: sizeBytes}).update(label).digest();
	const {deadlineMs, isServed, disturb} = CAUSES[cause];
	const firstPort = await startCutTarget(t, {body, isChunked, cutBytes}, disturb);
	const path = await startUploadPath(t, {targetCount: 1, firstPort});
	const answer = await upload(path, {requestId: 'upload', body: Buffer.from('x'), deadlineMs}).answered;
	const isWhole = answer.status === 200;
	// With a length, an answer may have arrived whole before its connection ended.
	const mayBeWhole = isServed || (!isChunked && cutBytes === sizeBytes);
	t.true(isWhole ? mayBeWhole : !isServed, `${label}: status ${answer.status}`);
	t.true(!isWhole || digestBody(answer.bytes) === digestBody(body), label);
};

// Guards against an answer of which the caller takes a part for the whole.
Object.values(Cause).forEach(cause => {
	Object.values(Cut).forEach(cut => {
		// Pauses stop the whole thread, so no other trial runs beside them.
		test.serial(`an answer is passed on whole or broken off when ${cause} ${cut}`, async t => {
			for (const sizeBytes of SIZES_BYTES.filter(size => CUT_BYTES[cut](size) !== undefined)) {
				await runTrial(t, {cause, cut, sizeBytes, isChunked: false});
				await runTrial(t, {cause, cut, sizeBytes, isChunked: true});
			}
		});
	});
});

import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as timersPromises from 'node:timers/promises';
import * as util from 'node:util';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import test, {type ExecutionContext} from 'ava';
import {
	pauseThread,
	startUploadPath,
	upload,
	waitUntilSettled,
	type Upload,
	type UploadPath,
	type UploadPathOptions,
} from './upload-path.js';
import {digestBody, type UploadExchange} from './upload-target.js';

/** Where an upload is disturbed: before its attempt is sent, or after some bytes of its body. */
enum Cut {
	BeforeConnect = 'before the connection is open',
	Queued = 'while queued behind another call',
	AfterHead = 'after the head',
	FirstByte = 'at the first byte',
	BelowHeldLimit = 'one byte below the held limit',
	AtHeldLimit = 'at the held limit',
	AboveHeldLimit = 'one byte above the held limit',
	LastByte = 'at the last byte',
	AfterEnd = 'after the last byte',
}

enum Cause {
	AttemptCancelled = 'the attempt is cancelled',
	ConnectSlow = 'the connection opens late',
	EarlyAnswer = 'the target answers early',
	TargetReset = 'the target resets',
	CallerLeaves = 'the caller leaves',
	CallerStalls = 'the caller stalls',
	NodePaused = 'the node is paused',
}

const HELD_LIMIT_BYTES = 524_288;
/** Seeds of the sizes of parts, by the size of the body in bytes. */
const SEEDS = new Map([
	[0, [11]],
	[1, [12]],
	[360_000, [13]],
	[2_000_000, [14, 15]],
]);
/** Enough that a busy machine, on which connections open slowly, leaves one for the upload. */
const TARGET_COUNT = 6;
const CONNECT_TIMEOUT_MS = 40;
/** Longer than the connect timeout. */
const DISTURBANCE_MS = 70;
/** Time for a target to read what has arrived. */
const READ_MS = 20;

const UNSENT_CUTS = [Cut.BeforeConnect, Cut.Queued];
const ALL_CUTS = Object.values(Cut);
const SENT_CUTS = ALL_CUTS.filter(cut => !UNSENT_CUTS.includes(cut));

/** Bytes of the body that are transferred before the cut; undefined if the body has no such place. */
const CUT_BYTES: Record<Cut, (sizeBytes: number) => number | undefined> = {
	[Cut.BeforeConnect]: () => 0,
	[Cut.Queued]: () => 0,
	[Cut.AfterHead]: () => 0,
	[Cut.FirstByte]: sizeBytes => (sizeBytes > 1 ? 1 : undefined),
	[Cut.BelowHeldLimit]: sizeBytes => (sizeBytes > HELD_LIMIT_BYTES ? HELD_LIMIT_BYTES - 1 : undefined),
	[Cut.AtHeldLimit]: sizeBytes => (sizeBytes > HELD_LIMIT_BYTES ? HELD_LIMIT_BYTES : undefined),
	[Cut.AboveHeldLimit]: sizeBytes => (sizeBytes > HELD_LIMIT_BYTES ? HELD_LIMIT_BYTES + 1 : undefined),
	[Cut.LastByte]: sizeBytes => (sizeBytes > 1 ? sizeBytes - 1 : undefined),
	[Cut.AfterEnd]: sizeBytes => (sizeBytes > 0 ? sizeBytes : undefined),
};

type Scene = {
	/** The first attempt's exchange; undefined before it is sent. */
	readonly exchange: UploadExchange | undefined;
	readonly caller: Upload;
	readonly random: () => number;
};

type CauseScript = {
	readonly cuts: readonly Cut[];
	/** Whether the cut counts the bytes that the caller has sent, not those that the target has received. */
	readonly isAtCaller: boolean;
	readonly path?: UploadPathOptions;
	/** Statuses that the caller may get; 0 if the connection ends without an answer. */
	readonly statuses: readonly number[];
	/** May hold up the caller by its duration. */
	act(scene: Scene): Promise<void> | void;
};

const CAUSES: Record<Cause, CauseScript> = {
	[Cause.AttemptCancelled]: {
		cuts: ALL_CUTS,
		statuses: [200],
		isAtCaller: false,
		// Attempts count as slow, and are replaced, after 30 ms.
		path: {
			connectTimeoutMs: 500,
			usualDurationMs: 1,
			route: {repeatability: domain.Repeatability.Repeatable, latencyObjectiveMs: 100, attemptLimit: 3},
		},
		async act({exchange}) {
			exchange?.incoming.pause();
			await timersPromises.setTimeout(DISTURBANCE_MS);
			exchange?.incoming.resume();
		},
	},
	[Cause.ConnectSlow]: {cuts: UNSENT_CUTS, statuses: [200], isAtCaller: false, act: () => undefined},
	[Cause.EarlyAnswer]: {
		cuts: SENT_CUTS,
		statuses: [200, 503],
		isAtCaller: false,
		act({exchange, random}) {
			exchange?.answerEarly(random() < 0.5 ? 200 : 503);
		},
	},
	[Cause.TargetReset]: {
		cuts: SENT_CUTS,
		statuses: [200, 502],
		isAtCaller: false,
		path: {route: {repeatability: domain.Repeatability.Repeatable}},
		act({exchange}) {
			exchange?.incoming.socket.resetAndDestroy();
		},
	},
	[Cause.CallerLeaves]: {
		cuts: ALL_CUTS,
		statuses: [0, 200],
		isAtCaller: true,
		act({caller}) {
			caller.leave();
		},
	},
	[Cause.CallerStalls]: {
		cuts: ALL_CUTS,
		statuses: [200],
		isAtCaller: true,
		async act() {
			await timersPromises.setTimeout(DISTURBANCE_MS);
		},
	},
	[Cause.NodePaused]: {
		cuts: ALL_CUTS,
		statuses: [200],
		isAtCaller: false,
		act() {
			pauseThread(DISTURBANCE_MS);
		},
	},
};

/** Occupies the threads that look up host names, so that a connection to a host name opens late. */
const delayLookups = async (): Promise<void> => {
	const pbkdf2 = util.promisify(crypto.pbkdf2);
	const iterationCount = 60_000;
	// Eight of these end before the connect timeout on a fast processor.
	const taskCount = 40;
	await Promise.all(
		Array.from({length: taskCount}, async () => pbkdf2('lookup', 'delay', iterationCount, 64, 'sha512')),
	);
};

type Trial = {readonly cause: Cause; readonly cut: Cut; readonly sizeBytes: number; readonly seed: number};

/** Makes the first target's only connection busy until `release` is called. */
const occupyFirstTarget = async (path: UploadPath): Promise<void> => {
	const [target] = path.targets;
	target!.isHolding = true;
	const arrived = new Promise<void>(resolve => {
		target!.onProgress = () => {
			resolve();
		};
	});
	// Another target answers if the connection to the first one opened too late, as on a busy machine.
	while (target!.exchanges.length === 0) {
		await Promise.race([arrived, upload(path, {requestId: 'occupant', body: Buffer.from('x')}).answered]);
	}
};

const runTrial = async (t: ExecutionContext, trial: Trial): Promise<void> => {
	const {cause, cut, sizeBytes, seed} = trial;
	const script = CAUSES[cause];
	const label = `${sizeBytes} bytes, seed ${seed}`;
	const source = fakes.createSeededRandom(seed + sizeBytes);
	const random = (): number => source.fraction();
	const cutBytes = CUT_BYTES[cut](sizeBytes)!;
	const body = crypto
		.createHash('shake256', {outputLength: sizeBytes + 1})
		.update(label)
		.digest()
		.subarray(1);
	const path = await startUploadPath(t, {
		connectTimeoutMs: CONNECT_TIMEOUT_MS,
		firstHost: cut === Cut.BeforeConnect && cause !== Cause.NodePaused ? 'localhost' : undefined,
		proxy: {connectionsPerTarget: 1, unreachableLimit: TARGET_COUNT},
		targetCount: TARGET_COUNT,
		...script.path,
	});
	const [firstTarget] = path.targets;
	if (cut === Cut.Queued) {
		await occupyFirstTarget(path);
	}

	let endDisturbance = (): void => undefined;
	const disturbanceEnded = new Promise<void>(resolve => {
		endDisturbance = resolve;
	});
	let hasActed = false;
	let held: Promise<void> | undefined;
	const act = (exchange?: UploadExchange): void => {
		if (!hasActed) {
			hasActed = true;
			held = Promise.resolve(script.act({exchange, caller, random}));
		}
	};

	const disturbAttempt = async (): Promise<void> => {
		const isLookedUp = cut === Cut.BeforeConnect && cause !== Cause.NodePaused;
		const connected = isLookedUp ? delayLookups() : undefined;
		// Runs before the next events of sockets, so that a pause begins while the connection is being opened.
		setImmediate(act);
		await timersPromises.setTimeout(DISTURBANCE_MS);
		await connected;
		firstTarget!.release();
		await timersPromises.setTimeout(READ_MS);
		endDisturbance();
	};

	path.onGrant = (targetIndex, requestId) => {
		if (targetIndex === 0 && requestId === 'upload' && UNSENT_CUTS.includes(cut)) {
			void disturbAttempt();
		}
	};

	firstTarget!.onProgress = exchange => {
		const isCut = exchange.requestId === 'upload' && exchange.receivedBytes >= cutBytes;
		if (isCut && !script.isAtCaller && !UNSENT_CUTS.includes(cut)) {
			act(exchange);
		}
	};

	const caller: Upload = upload(path, {
		requestId: 'upload',
		body,
		isChunked: random() < 0.5,
		nextPartBytes: () => Math.ceil(random() ** 3 * 200_000),
		async afterPart(sentBytes) {
			// The rest is sent while the attempt that replaced the first one is under way.
			if (UNSENT_CUTS.includes(cut) && sentBytes > 2 * HELD_LIMIT_BYTES) {
				await disturbanceEnded;
			}

			if (script.isAtCaller && !UNSENT_CUTS.includes(cut) && sentBytes >= cutBytes) {
				act();
			}

			if (script.isAtCaller) {
				await held;
			}
		},
	});
	const answer = await caller.answered;
	await held;
	firstTarget!.release();
	await waitUntilSettled(path);
	const exchanges = path.targets.flatMap(target => target.exchanges).filter(({requestId}) => requestId === 'upload');
	const expectedDigest = digestBody(body);
	const wholeDigests = exchanges.flatMap(({digest}) => (digest === undefined ? [] : [digest]));
	const runCount = exchanges.filter(({digest, isRefused}) => digest !== undefined && !isRefused).length;
	const isSingle = script.path?.route?.repeatability !== domain.Repeatability.Repeatable;
	t.deepEqual(
		[...new Set(wholeDigests)].filter(digest => digest !== expectedDigest),
		[],
		label,
	);
	t.true(!isSingle || runCount <= 1, `${label}: ${runCount} runs`);
	t.false(answer.status === 503 && runCount > 0, `${label}: refused, but run`);
	t.true(answer.status !== 200 || [expectedDigest, 'early'].includes(answer.text), `${label}: ${answer.text}`);
	t.true(script.statuses.includes(answer.status), `${label}: status ${answer.status}`);

	if (cause === Cause.ConnectSlow || (cause === Cause.NodePaused && UNSENT_CUTS.includes(cut))) {
		t.false(
			firstTarget!.exchanges.some(({requestId}) => requestId === 'upload'),
			`${label}: sent after all`,
		);
	}
};

// Guards against an upload of which a target takes a part, or nothing at all, for the whole body.
Object.values(Cause).forEach(cause => {
	CAUSES[cause].cuts.forEach(cut => {
		// Pauses stop the whole thread, so no other trial runs beside them.
		test.serial(`an upload is sent whole or not at all when ${cause} ${cut}`, async t => {
			const sizes = [...SEEDS].filter(([sizeBytes]) => CUT_BYTES[cut](sizeBytes) !== undefined);
			for (const [sizeBytes, seeds] of sizes) {
				for (const seed of seeds) {
					await runTrial(t, {cause, cut, sizeBytes, seed});
				}
			}
		});
	});
});

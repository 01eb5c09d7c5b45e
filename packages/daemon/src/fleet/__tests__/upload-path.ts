import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import * as timersPromises from 'node:timers/promises';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import * as platform from '@bilberrydoor/platform';
import type {ExecutionContext} from 'ava';
import {startUploadTarget, type UploadTarget} from './upload-target.js';

const {PLATFORM_DIALECT: dialect} = platform;

const HOST = 'gateway.example';
const BODY_LIMIT_BYTES = 67_108_864;
const DEADLINE_MS = 5000;

export type UploadPathOptions = {
	readonly targetCount?: number;
	readonly connectTimeoutMs?: number;
	readonly route?: Partial<domain.HostRoute>;
	readonly proxy?: Partial<core.ProxyOptions>;
	/** Host name of the first target's address. */
	readonly firstHost?: string;
	/** Port of a server that takes the place of the first target. */
	readonly firstPort?: number;
	readonly bodyLimitBytes?: number;
	/** Mean duration that grants name, in ms. */
	readonly usualDurationMs?: number;
};

export type UploadPath = {
	readonly frontPort: number;
	readonly targets: readonly UploadTarget[];
	/** Reported results of the attempts. */
	readonly results: readonly core.GrantResult[];
	/** Called with the index of the granted target before an attempt at it begins. */
	onGrant: (targetIndex: number, requestId: string) => void;
	/** Awaited before each grant, as while all slots are in use. */
	beforeGrant: () => Promise<void>;
};

/** Starts a front, a call proxy and a target client as a node does, before targets that are granted in their order. */
export const startUploadPath = async (t: ExecutionContext, options: UploadPathOptions): Promise<UploadPath> => {
	const clock = adapters.createSystemClock();
	const random = adapters.createSystemRandom();
	const logger = fakes.createSilentLogger();
	const metrics = fakes.createFakeMetrics();
	const self = fakes.buildNode('self');
	const peerReachability = core.createPeerReachability({clock, logger});
	const registry = core.createRegistry({self, clock, logger, metrics, peerReachability});
	const route = fakes.buildHostRoute({host: HOST, pathPrefix: '/', timeoutMs: 60_000, ...options.route});
	const value = fakes.buildFleetCatalogue(1, [route]);
	const records = [{key: 'config', offset: 1, value}];
	registry.apply({[core.RegistryTopic.Catalogue]: {records, nextOffset: 2, isWhole: false}});
	const targets = await Promise.all(Array.from({length: options.targetCount ?? 3}, async () => startUploadTarget(t)));
	const registeredTargets = targets.map(({port}, index) => {
		const host = index === 0 ? (options.firstHost ?? '127.0.0.1') : '127.0.0.1';
		const ownPort = index === 0 ? (options.firstPort ?? port) : port;
		return fakes.buildTarget({targetId: `target-${index}`, address: `${host}:${ownPort}`});
	});
	const results: core.GrantResult[] = [];
	const grants: core.GrantClient = {
		async acquire({excludedTargetIds, requestId}) {
			await path.beforeGrant();
			const index = registeredTargets.findIndex(({targetId}) => !excludedTargetIds.includes(targetId));
			if (index === -1) {
				return {isGranted: false, refusal: core.GrantRefusal.NoTarget, predictedWaitMs: 0};
			}

			path.onGrant(index, requestId);
			return {
				isGranted: true,
				grantId: `${requestId}-${index}`,
				target: registeredTargets[index]!,
				standing: 'sound',
				routeId: route.routeId,
				region: self.region,
				dispatcher: self,
				...(options.usualDurationMs !== undefined && {usualDurationMs: options.usualDurationMs}),
			};
		},
		report(_grant, result) {
			results.push(result);
		},
	};
	const targetClient = adapters.createFleetTargetClient({
		dialect,
		...(options.connectTimeoutMs !== undefined && {connectTimeoutMs: options.connectTimeoutMs}),
	});
	const proxy = core.createCallProxy({
		registry,
		grants,
		targetClient,
		clock,
		random,
		logger,
		metrics,
		options: options.proxy,
	});
	const app = adapters.createProxyApp({
		dialect,
		proxy,
		clock,
		random,
		logger,
		getHeaderLimitBytes: () => 65_536,
		getBodyLimitBytes: () => options.bodyLimitBytes ?? BODY_LIMIT_BYTES,
		isClosing: () => false,
	});
	const front = await adapters.startHttpListener(app, {});
	t.teardown(async () => {
		front.destroy();
		await front.close();
		await targetClient.close();
	});
	const path = {
		frontPort: adapters.splitAddress(front.address).port,
		targets,
		results,
		onGrant: (_targetIndex: number, _requestId: string): void => undefined,
		beforeGrant: async (): Promise<void> => undefined,
	};
	return path;
};

/** An answer; status 0 if the connection ended before the answer was complete. */
export type UploadAnswer = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly text: string;
	readonly bytes: Uint8Array;
};

export type UploadOptions = {
	readonly requestId: string;
	readonly body: Uint8Array;
	readonly isChunked?: boolean;
	readonly deadlineMs?: number;
	/** Size of the next part, in bytes. */
	readonly nextPartBytes?: () => number;
	/** Sent as the content length instead of the body's. */
	readonly announcedBytes?: number;
	/** Awaited after the head and after each part, with the bytes that were sent so far. */
	readonly afterPart?: (sentBytes: number) => Promise<void>;
};

export type Upload = {
	readonly answered: Promise<UploadAnswer>;
	/** Closes the caller's connection. */
	leave(): void;
	/** Resets the caller's connection. */
	reset(): void;
};

const readAnswer = async (request: http.ClientRequest): Promise<UploadAnswer> =>
	new Promise(resolve => {
		const fail = (): void => {
			resolve({status: 0, headers: {}, text: '', bytes: new Uint8Array(0)});
		};

		request.on('error', fail);
		request.on('close', fail);
		request.on('response', response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				const bytes = Buffer.concat(chunks);
				resolve({status: response.statusCode ?? 0, headers: response.headers, text: bytes.toString(), bytes});
			});
			response.on('error', fail);
		});
	});

const writeParts = async (request: http.ClientRequest, options: UploadOptions): Promise<void> => {
	const {body, nextPartBytes = () => 65_536, afterPart} = options;
	const closed = new Promise(resolve => {
		request.once('close', resolve);
	});
	let sentBytes = 0;
	request.flushHeaders();
	await afterPart?.(0);
	while (sentBytes < body.byteLength && !request.destroyed) {
		const part = body.subarray(sentBytes, sentBytes + Math.max(1, nextPartBytes()));
		sentBytes += part.byteLength;
		if (!request.write(part)) {
			await Promise.race([
				new Promise(resolve => {
					request.once('drain', resolve);
				}),
				closed,
			]);
		}

		await afterPart?.(sentBytes);
	}

	request.end();
};

/** Sends an upload on a connection of its own. */
export const upload = (path: UploadPath, options: UploadOptions): Upload => {
	const {body, requestId} = options;
	const request = http.request({
		host: '127.0.0.1',
		port: path.frontPort,
		method: 'POST',
		path: '/photo',
		agent: false,
		headers: {
			host: HOST,
			[dialect.requestIdHeader]: requestId,
			[dialect.remainingMsHeader]: String(options.deadlineMs ?? DEADLINE_MS),
			...(options.isChunked
				? {'transfer-encoding': 'chunked'}
				: {'content-length': String(options.announcedBytes ?? body.byteLength)}),
		},
	});
	const answered = readAnswer(request);
	// The caller may be needed by what happens after the first part.
	setImmediate(() => {
		void writeParts(request, options);
	});
	return {
		answered,
		leave() {
			request.destroy();
		},
		reset() {
			request.socket?.resetAndDestroy();
		},
	};
};

const SETTLE_POLL_MS = 5;
const SETTLE_LIMIT_COUNT = 200;

/** Waits until each body at a target is whole or broken off. */
export const waitUntilSettled = async ({targets}: UploadPath): Promise<void> => {
	const isOpen = (): boolean =>
		targets.some(({exchanges}) => exchanges.some(({digest, isBroken}) => digest === undefined && !isBroken));
	for (let count = 0; isOpen() && count < SETTLE_LIMIT_COUNT; count++) {
		await timersPromises.setTimeout(SETTLE_POLL_MS);
	}
};

/** Stops all code of this thread, as a suspension of the process does; the kernel goes on accepting connections. */
export const pauseThread = (pauseMs: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
};

import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import type {ExecutionContext} from 'ava';
import {send, startFleet, waitUntil, type RunningNode} from './fleet-harness.js';
import {isPipeliningCallerAnswered} from './pipelining-caller.js';

/** Flags of the run command in deploy/system.toml, with a smaller heap. */
const NODE_FLAGS: readonly string[] = [
	'--max-old-space-size=48',
	'--max-semi-space-size=1',
	'--no-wasm-tier-up',
	'--no-wasm-dynamic-tiering',
];

/** Limits of the node's machine. They are the bounds that the node must stay under. */
const MACHINE_LIMITS = {memory_mb: 180, max_fds: 400};

const BYTES_PER_MB = 1_048_576;
const KIB = 1024;
const SAMPLE_INTERVAL_MS = 50;

/** Time after which an unanswered request counts as a fault. It is far beyond what a busy machine needs. */
const ANSWER_LIMIT_MS = 60_000;
const ATTEMPT_LIMIT_MS = 5000;
const RETRY_PAUSE_MS = 250;

/** Bytes that an endless sender writes at once. */
const BLOCK_BYTES = 16_384;

/** Shorter than the time limits for heads and for idle connections. */
const TRICKLE_INTERVAL_MS = 500;

/** A connection of a client that sends bytes and reads nothing. */
export type CrowdClient = {
	send(bytes: string | Uint8Array): void;
	/** Sends the same bytes again and again, as fast as the node reads them. */
	sendEndlessly(bytes: string): void;
	/** Sends a few bytes now and then, for as long as the connection is open. */
	trickle(bytes: string): void;
	/** Closes or resets the connection. */
	leave(way: 'close' | 'reset'): void;
};

export const connectClient = async (t: ExecutionContext, node: RunningNode): Promise<CrowdClient> => {
	const {hostname, port} = new URL(node.frontUrl);
	const socket = net.connect(Number(port), hostname);
	// The node may close the connection at any time.
	socket.on('error', () => undefined);
	socket.pause();
	t.teardown(() => socket.destroy());
	await new Promise(resolve => {
		socket.once('connect', resolve);
		socket.once('close', resolve);
	});
	return {
		send(bytes) {
			socket.write(bytes);
		},
		sendEndlessly(bytes) {
			const block = bytes.repeat(Math.ceil(BLOCK_BYTES / bytes.length));
			const fill = (): void => {
				while (!socket.destroyed && socket.write(block));
			};

			socket.on('drain', fill);
			fill();
		},
		trickle(bytes) {
			const timer = setInterval(() => {
				socket.write(bytes);
			}, TRICKLE_INTERVAL_MS);
			socket.once('close', () => {
				clearInterval(timer);
			});
		},
		leave(way) {
			if (way === 'reset') {
				socket.resetAndDestroy();
				return;
			}

			socket.destroy();
		},
	};
};

export const connectClients = async (
	t: ExecutionContext,
	node: RunningNode,
	count: number,
): Promise<readonly CrowdClient[]> => Promise.all(Array.from({length: count}, async () => connectClient(t, node)));

const readPeakBytes = async (pid: number): Promise<number> => {
	const status = await fs.readFile(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) * KIB;
};

/** Records the largest memory and the largest number of descriptors of a process. */
const watchProcess = (node: RunningNode) => {
	const peak = {memoryBytes: 0, descriptorCount: 0};
	const pid = node.process.pid!;
	const sample = async (): Promise<void> => {
		try {
			peak.memoryBytes = await readPeakBytes(pid);
			peak.descriptorCount = Math.max(peak.descriptorCount, (await fs.readdir(`/proc/${pid}/fd`)).length);
		} catch {
			// The process has ended.
		}
	};

	const timer = setInterval(() => {
		void sample();
	}, SAMPLE_INTERVAL_MS);
	return {
		async stop(): Promise<typeof peak> {
			clearInterval(timer);
			await sample();
			return peak;
		},
	};
};

/** Sends an ordinary request until it is answered, as a caller does that honours refusals. */
const isOrdinaryRequestAnswered = async (node: RunningNode, requestId: string): Promise<boolean> => {
	const endsAtMs = performance.now() + ANSWER_LIMIT_MS;
	const isRunning = (): boolean => node.process.exitCode === null && node.process.signalCode === null;
	for (let count = 0; performance.now() < endsAtMs && isRunning(); count++) {
		try {
			const signal = AbortSignal.timeout(ATTEMPT_LIMIT_MS);
			const {status} = await send(node, `${requestId}-${count}`, {signal});
			if (status === 200) {
				return true;
			}
		} catch {
			// Refused connections are tried again.
		}

		await timersPromises.setTimeout(RETRY_PAUSE_MS);
	}

	return false;
};

export type Fleet = Awaited<ReturnType<typeof startFleet>>;

export type CrowdOptions = {
	/** Limits of the catalogue in force, where they differ from those of the stand-in. */
	readonly catalogueLimits?: Readonly<Record<string, number>>;
	/** Checks that a caller within the limits that sends ahead gets all its answers while the clients are connected. */
	readonly hasPipeliningCaller?: boolean;
	/** Checks that the node ends the connections of the clients although they keep sending. */
	readonly mustEndClients?: boolean;
};

const countDescriptors = async ({process: {pid}}: RunningNode): Promise<number> =>
	(await fs.readdir(`/proc/${pid}/fd`)).length;

/** Descriptors that a node opens for its own callers, targets and peers while the clients are connected. */
const OWN_DESCRIPTOR_COUNT = 15;

const areClientsEnded = async (node: RunningNode, initialCount: number): Promise<boolean> => {
	const endsAtMs = performance.now() + ANSWER_LIMIT_MS;
	while (performance.now() < endsAtMs) {
		if ((await countDescriptors(node)) <= initialCount + OWN_DESCRIPTOR_COUNT) {
			return true;
		}

		await timersPromises.setTimeout(RETRY_PAUSE_MS);
	}

	return false;
};

const startNode = async (t: ExecutionContext, {catalogueLimits}: CrowdOptions): Promise<[Fleet, RunningNode]> => {
	const fleet = await startFleet(t, {nodes: 1, targets: 1, flags: NODE_FLAGS, limits: MACHINE_LIMITS});
	const node = fleet.nodes[0]!;
	if (catalogueLimits) {
		fleet.publishCatalogue(2, ['malipo'], {limits: catalogueLimits});
		await waitUntil(() => node.listEvents(core.LogEvent.CatalogueInForce).length === 2);
	}

	return [fleet, node];
};

/**
 * Starts one node with lowered limits, lets clients act on it, and checks that the node lives, that its memory and descriptors
 * stayed under the limits of its machine, and that an ordinary request is answered while the clients are still connected and
 * after they have left.
 */
export const checkNodeUnderCrowd = async (
	t: ExecutionContext,
	act: (fleet: Fleet, node: RunningNode) => Promise<readonly CrowdClient[]>,
	options: CrowdOptions = {},
): Promise<void> => {
	const [fleet, node] = await startNode(t, options);
	t.true(await isOrdinaryRequestAnswered(node, 'before'));
	const initialCount = await countDescriptors(node);
	const watch = watchProcess(node);
	const clients = await act(fleet, node);
	const isCallerAnswered = !options.hasPipeliningCaller || (await isPipeliningCallerAnswered(node));
	const isAnsweredDuring = await isOrdinaryRequestAnswered(node, 'during');
	const isCrowdEnded = !options.mustEndClients || (await areClientsEnded(node, initialCount));
	clients.forEach((client, index) => {
		client.leave(index % 2 === 0 ? 'close' : 'reset');
	});
	const isAnsweredAfter = await isOrdinaryRequestAnswered(node, 'after');
	const peak = await watch.stop();
	t.log(`${Math.round(peak.memoryBytes / BYTES_PER_MB)} MB, ${peak.descriptorCount} descriptors`);
	t.deepEqual([node.process.exitCode, node.process.signalCode], [null, null], 'the node ended');
	t.true(isAnsweredDuring, 'no answer while the clients were connected');
	t.true(isCallerAnswered, 'the connection of a caller within the limits was closed without an answer');
	t.true(isCrowdEnded, 'the connections of the clients were not ended');
	t.true(isAnsweredAfter, 'no answer after the clients had left');
	t.true(peak.memoryBytes < MACHINE_LIMITS.memory_mb * BYTES_PER_MB, `${peak.memoryBytes} bytes`);
	t.true(peak.descriptorCount < MACHINE_LIMITS.max_fds, `${peak.descriptorCount} descriptors`);
};

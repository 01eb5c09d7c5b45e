import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {calculatePercentile} from './calculate-percentile.js';

/** 99th percentile of the latencies of short calls across the region link, by mode. */
export type LinkBlockingResult = Readonly<Record<LinkMode, {readonly shortP99Ms: number}>>;

enum LinkMode {
	/** Short calls without bulk uploads. */
	Alone = 'alone',
	/** Bulk uploads that `core.RegionLink` paces. */
	Product = 'product',
	/** Unpaced bulk uploads, limited only by their TCP windows. */
	Independent = 'independent',
}

const LINK_BYTES_PER_SECOND = 3_750_000;
const LINK_LATENCY_MS = 20;
/** Nodes in one region of the larger deployment at its present size; half of them upload. */
const NODE_COUNT = 22;
const UPLOADS_PER_NODE = 2;
const SHORT_CALLS_PER_SECOND = 200;
const SHORT_REQUEST_BYTES = 1024;
const SHORT_ANSWER_BYTES = 4096;
const CONTROL_MESSAGE_BYTES = 400;
const UPLOAD_BYTES = 2_000_000;
const CHUNK_BYTES = 16_384;
/** Bytes in flight of an unpaced upload: the initial TCP receive window. */
const WINDOW_BYTES = 65_536;
const WARM_UP_MS = 10_000;
const DURATION_MS = 60_000;
const MS_PER_SECOND = 1000;

/** Creates one direction of the link: a FIFO queue with a fixed rate and latency. */
const createLinkDirection = (clock: core.Clock) => {
	let freeAtMs = 0;
	return async (byteCount: number): Promise<void> => {
		const startMs = Math.max(freeAtMs, clock.monotonicMs());
		freeAtMs = startMs + (byteCount * MS_PER_SECOND) / LINK_BYTES_PER_SECOND;
		await clock.sleep(freeAtMs + LINK_LATENCY_MS - clock.monotonicMs());
	};
};

type Simulation = {
	readonly clock: fakes.VirtualClock;
	readonly random: core.Random;
	readonly sendOut: (byteCount: number) => Promise<void>;
	readonly sendBack: (byteCount: number) => Promise<void>;
	readonly latenciesMs: number[];
	/** Bulk bytes sent after the warm-up, by the index of the uploading node. */
	readonly uploadedBytes: number[];
};

const createSimulation = (seed: number): Simulation => {
	const clock = fakes.createVirtualClock();
	return {
		clock,
		random: fakes.createSeededRandom(seed),
		sendOut: createLinkDirection(clock),
		sendBack: createLinkDirection(clock),
		latenciesMs: [],
		uploadedBytes: [],
	};
};

const createNodeLink = ({clock, random, sendOut, sendBack}: Simulation): core.RegionLink =>
	core.createRegionLink({
		ports: {clock, random, metrics: fakes.createFakeMetrics()},
		countRegionNodes: () => NODE_COUNT,
		async measureRoundTripMs() {
			const startedAtMs = clock.monotonicMs();
			await sendOut(CONTROL_MESSAGE_BYTES);
			await sendBack(CONTROL_MESSAGE_BYTES);
			return clock.monotonicMs() - startedAtMs;
		},
		options: {capacityBytesPerSecond: LINK_BYTES_PER_SECOND},
	});

async function* generateBody(byteCount: number): AsyncGenerator<Uint8Array> {
	for (let sentBytes = 0; sentBytes < byteCount; sentBytes += CHUNK_BYTES) {
		yield new Uint8Array(Math.min(CHUNK_BYTES, byteCount - sentBytes));
	}
}

const wrapBody = (link: core.RegionLink, byteCount: number, workClass: domain.WorkClass): domain.BodyStream =>
	link.wrapBody(
		generateBody(byteCount),
		{region: 'bara', direction: core.LinkDirection.Outbound, service: 'picha', workClass, linkWeight: 1},
		new AbortController().signal,
	);

/** Sends short calls at random times from random nodes, and records their latencies. */
const runShortCalls = async (simulation: Simulation, links: readonly core.RegionLink[]): Promise<void> => {
	const {clock, random, sendOut, sendBack, latenciesMs} = simulation;
	const call = async (): Promise<void> => {
		const startedAtMs = clock.monotonicMs();
		const link = links[Math.floor(random.fraction() * links.length)]!;
		for await (const chunk of wrapBody(link, SHORT_REQUEST_BYTES, domain.WorkClass.Short)) {
			await sendOut(chunk.byteLength);
		}

		await sendBack(SHORT_ANSWER_BYTES);
		if (startedAtMs >= WARM_UP_MS) {
			latenciesMs.push(clock.monotonicMs() - startedAtMs);
		}
	};

	for (;;) {
		await clock.sleep((-Math.log(1 - random.fraction()) * MS_PER_SECOND) / SHORT_CALLS_PER_SECOND);
		void call();
	}
};

const runPacedUploads = async (simulation: Simulation, link: core.RegionLink, node: number): Promise<void> => {
	const {clock, sendOut, uploadedBytes} = simulation;
	for (;;) {
		for await (const frame of wrapBody(link, UPLOAD_BYTES, domain.WorkClass.Bulk)) {
			void sendOut(frame.byteLength);
			if (clock.monotonicMs() >= WARM_UP_MS) {
				uploadedBytes[node] = (uploadedBytes[node] ?? 0) + frame.byteLength;
			}
		}
	}
};

/** Keeps the window full: sends the next chunk as soon as the previous one is acknowledged. */
const runWindowedUpload = async ({sendOut, sendBack}: Simulation): Promise<void> => {
	for (;;) {
		await sendOut(CHUNK_BYTES);
		await sendBack(0);
	}
};

type UploadStarter = (simulation: Simulation, link: core.RegionLink, node: number) => void;

const UPLOAD_STARTERS: Record<LinkMode, UploadStarter> = {
	[LinkMode.Alone]: () => undefined,
	[LinkMode.Product](simulation, link, node) {
		void runPacedUploads(simulation, link, node);
	},
	[LinkMode.Independent](simulation) {
		for (let startedBytes = 0; startedBytes < WINDOW_BYTES; startedBytes += CHUNK_BYTES) {
			void runWindowedUpload(simulation);
		}
	},
};

const runMode = async (mode: LinkMode, seed: number, uploaderCount: number): Promise<Simulation> => {
	const simulation = createSimulation(seed);
	const links = Array.from({length: NODE_COUNT}, () => createNodeLink(simulation));
	void runShortCalls(simulation, links);
	links.slice(0, uploaderCount).forEach((link, node) => {
		Array.from({length: UPLOADS_PER_NODE}).forEach(() => {
			UPLOAD_STARTERS[mode](simulation, link, node);
		});
	});
	await simulation.clock.advance(WARM_UP_MS + DURATION_MS);
	return simulation;
};

const measureShortCalls = async (mode: LinkMode, seed: number): Promise<{readonly shortP99Ms: number}> => {
	const {latenciesMs} = await runMode(mode, seed, NODE_COUNT / 2);
	return {shortP99Ms: calculatePercentile(latenciesMs, 0.99)};
};

/**
 * Measures the latency of short calls across a link of 30 Mbit/s in virtual time: without bulk uploads, with uploads that
 * the region link paces, and with unpaced uploads. The goal is product ≤ 1.2 × alone.
 */
export const measureLinkBlocking = async ({seed}: {readonly seed: number}): Promise<LinkBlockingResult> => ({
	[LinkMode.Alone]: await measureShortCalls(LinkMode.Alone, seed),
	[LinkMode.Product]: await measureShortCalls(LinkMode.Product, seed),
	[LinkMode.Independent]: await measureShortCalls(LinkMode.Independent, seed),
});

import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';
import {createSilentLogger} from '../fake-observability.js';
import {createSeededRandom} from '../seeded-random.js';
import {createVirtualClock} from '../virtual-clock.js';

/** A kind of calls, as the users describe them. */
export type CallKind = {
	readonly routeId: string;
	readonly workMs: number;
	readonly objectiveMs: number;
	readonly deadlineMs: number;
	readonly bodyBytes?: number;
};

export type RegionModel = {
	readonly region: string;
	readonly targetCount: number;
	readonly slotCount: number;
	/** Calls a second at a time of the run, in ms. */
	readonly readRate: (timeMs: number) => number;
};

export type TwoRegionsOptions = {
	readonly regions: readonly [RegionModel, RegionModel];
	readonly kinds: readonly CallKind[];
	readonly durationMs: number;
	/** Delay of the link in one direction, in ms. */
	readonly linkDelayMs?: number;
	/** Whether nothing passes between the regions at a time of the run, in ms. */
	readonly isLinkLost?: (timeMs: number) => boolean;
	readonly zones?: Partial<core.ZoneOptions>;
	readonly seed?: number;
};

/** What became of the calls of one region. */
export type RegionTally = {
	callCount: number;
	inTimeCount: number;
	lateCount: number;
	refusedCount: number;
	awayCount: number;
	/** Time that refused calls were held, in ms. */
	refusedHeldMs: number;
	/** Messages to the other region, with their replies. */
	messageCount: number;
	messageBytes: number;
	/** Requests for grants in the other region. */
	askCount: number;
};

const NODE_COUNT = 4;
const LOST_REPLY_MS = 60_000;
const DEFAULT_LINK_DELAY_MS = 20;
const SETTLE_MS = 6000;

/** Part of the calls that hang for several times their duration, and how long. */
const SLOW_RATIO = 0.03;
const SLOW_FACTOR = 5;

const createTally = (): RegionTally => ({
	callCount: 0,
	inTimeCount: 0,
	lateCount: 0,
	refusedCount: 0,
	awayCount: 0,
	refusedHeldMs: 0,
	messageCount: 0,
	messageBytes: 0,
	askCount: 0,
});

/** Plays calls against the targets of two regions through their entry nodes and dispatchers, on a virtual clock. */
export const playTwoRegions = async (options: TwoRegionsOptions) => {
	const {regions, kinds, durationMs, linkDelayMs = DEFAULT_LINK_DELAY_MS, isLinkLost = () => false} = options;
	const clock = createVirtualClock();
	const random = createSeededRandom(options.seed ?? 1);
	const targets = regions.flatMap(({region, targetCount, slotCount}) =>
		Array.from({length: targetCount}, (_, index) =>
			buildTarget({targetId: `${region}-${index}`, region, availabilityZone: `${region}-zone`, slotCount}),
		),
	);
	const nodes = regions.flatMap(({region}) =>
		Array.from({length: NODE_COUNT}, (_, index) =>
			buildNode(`${region}-node-${index}`, {region, availabilityZone: `${region}-zone`}),
		),
	);
	const regionOfAddress = new Map(nodes.map(({address, region}) => [address, region]));
	const tallies = new Map(regions.map(({region}) => [region, createTally()]));
	const events: Array<Record<string, unknown>> = [];
	const logger: core.Logger = {
		...createSilentLogger(),
		info(_message, fields) {
			events.push({...fields, atMs: clock.monotonicMs()});
		},
	};
	const parts = new Map<string, ReturnType<typeof buildGrantParts>>();

	const createPeerClient = (self: domain.RegisteredNode): core.FleetPeerClient => ({
		async request(address, kind, request, {signal}) {
			const isAcross = regionOfAddress.get(address) !== self.region;
			const delayMs = isAcross ? linkDelayMs : 0.25;
			const tally = tallies.get(self.region)!;
			tally.messageCount += isAcross ? 1 : 0;
			tally.messageBytes += isAcross ? JSON.stringify(request).length : 0;
			tally.askCount += isAcross && kind === core.FleetMessageKind.AcquireGrant ? 1 : 0;
			await clock.sleep(delayMs, signal);
			if (isAcross && isLinkLost(clock.monotonicMs())) {
				await clock.sleep(LOST_REPLY_MS, signal);
				return neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'modelled'});
			}

			const {dispatchers} = parts.get(address)!;
			const {service, region} = request as core.AcquireGrantRequest;
			const dispatcher = dispatchers.get(service, region);
			if (kind === core.FleetMessageKind.ReportResult) {
				dispatcher.report(request as core.ReportResultRequest);
				return neverthrow.ok({} as never);
			}

			const reply = await dispatcher.acquire(request as core.AcquireGrantRequest, signal);
			await clock.sleep(delayMs, signal);
			tally.messageBytes += isAcross ? JSON.stringify(reply).length : 0;
			return neverthrow.ok(reply as never);
		},
	});

	nodes.forEach((self, index) => {
		const others = nodes.filter(({nodeId}) => nodeId !== self.nodeId);
		const {zones} = options;
		const peerClient = createPeerClient(self);
		parts.set(
			self.address,
			buildGrantParts({targets, nodes: others, peerClient, clock, self, logger, zones, seed: index + 1}),
		);
	});

	const drawWorkMs = (workMs: number): number =>
		random.fraction() < SLOW_RATIO ? workMs * SLOW_FACTOR : workMs * (0.5 + 0.8 * random.fraction());

	const play = async (self: domain.RegisteredNode, kind: CallKind, requestId: string): Promise<void> => {
		const tally = tallies.get(self.region)!;
		const {grants} = parts.get(self.address)!;
		const startedAtMs = clock.monotonicMs();
		tally.callCount++;
		const request: core.CallGrantRequest = {
			...buildGrantRequest(requestId, {routeId: kind.routeId, repeatability: domain.Repeatability.Repeatable}),
			isBulk: false,
			bodyBytes: kind.bodyBytes ?? 500,
			remainingMs: kind.deadlineMs,
			objectiveLeftMs: kind.objectiveMs,
		};
		const answer = await grants.acquire(request, new AbortController().signal);
		if (!answer.isGranted) {
			tally.refusedCount++;
			tally.refusedHeldMs += clock.monotonicMs() - startedAtMs;
			return;
		}

		const isAway = answer.region !== self.region;
		tally.awayCount += isAway ? 1 : 0;
		const leftMs = kind.deadlineMs - (clock.monotonicMs() - startedAtMs);
		const isReached = !(isAway && isLinkLost(clock.monotonicMs()));
		const neededMs = drawWorkMs(kind.workMs) + (isAway ? 2 * linkDelayMs : 0.5);
		const sentAtMs = clock.monotonicMs();
		await clock.sleep(isReached ? Math.min(neededMs, leftMs) : Math.min(500, leftMs));
		const isAnswered = isReached && neededMs <= leftMs;
		const failure = isReached ? core.GrantResult.TimedOut : core.GrantResult.Unreachable;
		const result = isAnswered ? core.GrantResult.Success : failure;
		grants.report(answer, result, clock.monotonicMs() - sentAtMs);
		grants.recordBytes(answer, {requestBytes: kind.bodyBytes ?? 500, answerBytes: 1000});
		const tookMs = clock.monotonicMs() - startedAtMs;
		if (isAnswered) {
			tally.inTimeCount += tookMs <= kind.objectiveMs ? 1 : 0;
			tally.lateCount += tookMs <= kind.objectiveMs ? 0 : 1;
		} else {
			tally.refusedCount++;
			tally.refusedHeldMs += tookMs;
		}
	};

	let requestCount = 0;
	const runArrivals = async ({region, readRate}: RegionModel): Promise<void> => {
		const entryNodes = nodes.filter(node => node.region === region);
		while (clock.monotonicMs() < durationMs) {
			const rate = readRate(clock.monotonicMs());
			await clock.sleep(rate > 0 ? (-Math.log(1 - random.fraction()) * 1000) / rate : 100);
			if (rate > 0) {
				const kind = kinds[Math.floor(random.fraction() * kinds.length)]!;
				const node = entryNodes[Math.floor(random.fraction() * entryNodes.length)]!;
				void play(node, kind, `call-${requestCount++}`);
			}
		}
	};

	regions.forEach(model => {
		void runArrivals(model);
	});
	await clock.advance(durationMs + SETTLE_MS);
	const spillEvents = events.filter(({event}) =>
		[core.LogEvent.SpillStarted, core.LogEvent.SpillEnded].includes(event as core.LogEvent),
	);
	const countStays = (reason: core.StayReason): number =>
		[...parts.values()].reduce((sum, {metrics}) => sum + metrics.sum(core.CounterName.RegionStays, {reason}), 0);
	return {first: tallies.get(regions[0].region)!, second: tallies.get(regions[1].region)!, spillEvents, countStays};
};

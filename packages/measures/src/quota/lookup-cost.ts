import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {calculatePercentile} from '../calculate-percentile.js';
import {measureBytesPerItem} from '../capacity/slope.js';

export type LookupCost = {
	readonly workspaceCount: number;
	/** Time of a decision with tokens at hand, in µs. */
	readonly lookupP50Us: number;
	readonly lookupP99Us: number;
	/** Memory of a workspace that is used at this node, which holds all of its shares, in bytes. */
	readonly usedWorkspaceBytes: number;
};

const US_PER_MS = 1000;
/** Workspaces whose decisions are timed, the calls after which they have tokens at hand, and the timed calls. */
const SAMPLED_COUNT = 1000;
const WARM_UP_COUNT = 10;
const TIMED_COUNT = 3;

const ignore = (): void => undefined;

const buildWorkspace = (index: number): domain.FleetWorkspace => ({
	name: `workspace-${index}`,
	keyDigests: [],
	ratePerSecond: 1000,
	burstCount: 1000,
});

const createSingleNode = (workspaces: ReadonlyMap<string, domain.FleetWorkspace>) => {
	const clock = fakes.createVirtualClock();
	const self = fakes.buildNode('node-0');
	const nodes = new Map([[self.nodeId, self]]);
	const quotas = core.createFleetQuotas({
		self,
		nodes: {revision: () => 1, values: () => nodes},
		findWorkspace: name => workspaces.get(name),
		hasLimits: () => true,
		peerClient: {
			async request() {
				throw new Error('a single node sends no messages');
			},
		},
		peerReachability: {isUsable: () => true},
		clock,
		random: fakes.createSeededRandom(1),
		logger: fakes.createSilentLogger(),
		metrics: {increment: ignore, set: ignore, observe: ignore},
	});
	return {clock, quotas};
};

/** Measures decisions with tokens at hand, with the given number of workspaces in use at one node. */
export const measureLookups = async (workspaceCount: number, seed: number): Promise<LookupCost> => {
	const workspaces = new Map(
		Array.from({length: workspaceCount}, (_, index) => buildWorkspace(index)).map(item => [item.name, item]),
	);
	const {signal} = new AbortController();
	const random = fakes.createSeededRandom(seed);
	const {clock, quotas} = createSingleNode(workspaces);
	// The node looks at its records for the first time, and holds its shares a lease time later.
	await quotas.admit(buildWorkspace(0), signal);
	await clock.advance(10_000);
	const decisions: Array<Promise<core.QuotaDecision>> = [];
	const usedWorkspaceBytes = measureBytesPerItem(workspaceCount, () => {
		workspaces.forEach(workspace => {
			decisions.push(quotas.admit(workspace, signal));
		});
		return quotas;
	});
	await Promise.all(decisions);
	const list = [...workspaces.values()];
	const sampled = Array.from(
		{length: Math.min(SAMPLED_COUNT, workspaceCount)},
		() => list[Math.floor(random.fraction() * workspaceCount)]!,
	);
	const timesUs: number[] = [];
	for (const workspace of sampled) {
		for (let index = 0; index < WARM_UP_COUNT; index++) {
			await quotas.admit(workspace, signal);
		}
	}

	for (const workspace of Array.from({length: TIMED_COUNT}, () => sampled).flat()) {
		const startedAtMs = performance.now();
		await quotas.admit(workspace, signal);
		timesUs.push((performance.now() - startedAtMs) * US_PER_MS);
	}

	return {
		workspaceCount,
		lookupP50Us: calculatePercentile(timesUs, 0.5),
		lookupP99Us: calculatePercentile(timesUs, 0.99),
		usedWorkspaceBytes: Math.round(usedWorkspaceBytes),
	};
};

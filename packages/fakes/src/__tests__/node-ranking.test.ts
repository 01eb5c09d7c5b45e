import * as core from '@bilberrydoor/core';
import test from 'ava';
import {buildNode} from '../build-fleet.js';
import {createVirtualClock} from '../virtual-clock.js';

const REGION = 'pwani';
const SMALL_CORES = 0.27;
const LARGE_CORES = 1.35;
const HEAVY_CORES = 0.6;

/** A region like those of the users' large fleet: 12 large nodes among 133 small ones. */
const buildNodes = (largeCount: number, smallCount: number) => [
	...Array.from({length: largeCount}, (_, index) => buildNode(`large-${index}`, {capacityCores: LARGE_CORES})),
	...Array.from({length: smallCount}, (_, index) => buildNode(`small-${index}`, {capacityCores: SMALL_CORES})),
];

const createRanking = (nodes: ReturnType<typeof buildNodes>, neededCores: () => number) => {
	const unusable = new Set<string>();
	const ranking = core.createNodeRanking({
		clock: createVirtualClock(),
		readRankingId: ({nodeId}) => nodeId,
		listNodes: () => nodes,
		readRevision: () => 1,
		isUsable: ({nodeId}) => !unusable.has(nodeId),
		readNeededCores: neededCores,
	});
	const rank = (key: string, limitCount = 2): string[] =>
		ranking.rank(key, REGION, limitCount).map(({nodeId}) => nodeId);
	return {rank, unusable};
};

const KEYS = Array.from({length: 2000}, (_, index) => `service-${index}@${REGION}`);

const countLarge = (nodeIds: readonly string[]): number => nodeIds.filter(id => id.startsWith('large')).length;

// Load pattern: hundreds of calls a second for one group, which saturate a small node as its dispatcher.
test('a group that needs more than a small node has large ones as its dispatcher and successor', t => {
	const {rank} = createRanking(buildNodes(12, 133), () => HEAVY_CORES);
	const ranked = KEYS.flatMap(key => rank(key));
	t.is(countLarge(ranked), ranked.length);
	const usedIds = new Set(ranked);
	t.is(usedIds.size, 12);
});

test('small groups are spread over all nodes in proportion to their capacity', t => {
	const {rank} = createRanking(buildNodes(12, 133), () => 0.01);
	const expectedShare = (12 * LARGE_CORES) / (12 * LARGE_CORES + 133 * SMALL_CORES);
	const share = countLarge(KEYS.flatMap(key => rank(key, 1))) / KEYS.length;
	t.true(Math.abs(share - expectedShare) < 0.04, `${share} of the keys, expected ${expectedShare}`);
});

test('small nodes follow when the large ones cannot be used', t => {
	const {rank, unusable} = createRanking(buildNodes(12, 133), () => HEAVY_CORES);
	const first = rank(KEYS[0]!, 12);
	t.is(countLarge(first), 12);
	first.slice(1).forEach(nodeId => {
		unusable.add(nodeId);
	});
	const ranked = rank(KEYS[0]!, 3);
	t.is(ranked[0], first[0]);
	t.is(countLarge(ranked), 1);
	t.is(ranked.length, 3);
});

test('a single large node does not get every group that is too large for the others', t => {
	const {rank} = createRanking(buildNodes(1, 100), () => HEAVY_CORES);
	const share = countLarge(KEYS.flatMap(key => rank(key, 1))) / KEYS.length;
	t.true(share < 0.1, `${share} of the keys`);
});

test('small changes of the work do not change the ranks', t => {
	let neededCores = 0.3;
	const middle = Array.from({length: 20}, (_, index) => buildNode(`middle-${index}`, {capacityCores: 0.4}));
	const {rank} = createRanking([...buildNodes(12, 133), ...middle], () => neededCores);
	const before = KEYS.slice(0, 100).map(key => rank(key));
	neededCores = 0.45;
	t.deepEqual(
		KEYS.slice(0, 100).map(key => rank(key)),
		before,
	);
});

test('nodes of equal capacity rank as without weights', t => {
	const nodes = buildNodes(0, 50);
	const {rank} = createRanking(nodes, () => HEAVY_CORES);
	KEYS.slice(0, 100).forEach(key => {
		const candidates = nodes.map(({nodeId}) => ({address: nodeId}));
		t.deepEqual(
			rank(key),
			core.rankByRendezvous(key, candidates, 2).map(({address}) => address),
		);
	});
});

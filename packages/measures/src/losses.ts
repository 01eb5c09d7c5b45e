import * as fakes from '@bilberrydoor/fakes';
import type {Measure} from './measure.js';

const NODE_COUNTS = [5, 12, 44, 119, 291];

/** Nodes that are simulated for each case: a small fleet is played several times, with the loss at another moment each time. */
const NODES_PER_CASE_COUNT = 120;

/** Latest moment of the loss after the fleet has settled, in ms: the longest interval of the nodes. */
const DELAY_LIMIT_MS = 1000;

const listLostCounts = (nodeCount: number): number[] => [0, 1, 3, Math.ceil(nodeCount / 2), nodeCount - 1];

/** Measures how late changes are in force after the loss of nodes that rank first, for many losses and sizes of fleets. */
export const measureLosses: Measure = async ({seed, reportProgress}) => {
	const random = fakes.createSeededRandom(seed);
	const cases = NODE_COUNTS.flatMap(nodeCount =>
		Object.values(fakes.LossKind).flatMap(kind =>
			listLostCounts(nodeCount).map(lostCount => ({nodeCount, kind, lostCount})),
		),
	);
	const rows: Array<(typeof cases)[number] & fakes.LossResult> = [];
	for (const given of cases) {
		const playCount = Math.ceil(NODES_PER_CASE_COUNT / given.nodeCount);
		const results: fakes.LossResult[] = [];
		while (results.length < playCount) {
			results.push(await fakes.simulateLosses({...given, delayMs: Math.round(random.fraction() * DELAY_LIMIT_MS)}));
		}

		const row = {
			...given,
			worstLagMs: Math.max(...results.map(({worstLagMs}) => worstLagMs)),
			peakStoreCallsPerSecond: Math.max(...results.map(({peakStoreCallsPerSecond}) => peakStoreCallsPerSecond)),
		};
		rows.push(row);
		reportProgress(JSON.stringify(row));
	}

	const findWorst = (kinds: readonly fakes.LossKind[]): number =>
		Math.max(...rows.filter(({kind}) => kinds.includes(kind)).map(({worstLagMs}) => worstLagMs));
	const {Refused, ...others} = fakes.LossKind;
	return {
		seed,
		worstLagMs: findWorst(Object.values(others)),
		worstLagWhileRefusedMs: findWorst([Refused]),
		peakStoreCallsPerSecond: Math.max(...rows.map(({peakStoreCallsPerSecond}) => peakStoreCallsPerSecond)),
	};
};

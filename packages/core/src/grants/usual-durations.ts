import {updateMovingAverage} from '../shared/update-moving-average.js';
import {createRecentMap} from '../shared/recent-map.js';

/** Size of the moving averages in results; small enough to follow a change of load within seconds. */
const WINDOW_COUNT = 30;

/** Number of routes whose durations are kept; the least recently used are evicted. */
const ROUTE_LIMIT_COUNT = 1000;

/** Moving averages of the durations of successful calls by route; routes of one service differ by an order of magnitude. */
export type UsualDurations = {
	/** Mean duration of the route's calls in ms; undefined before the first. */
	ofRoute(routeId: string): number | undefined;
	/** Mean duration over all routes in ms; undefined before the first. */
	overall(): number | undefined;
	record(routeId: string, durationMs: number): void;
};

const updateMean = (meanMs: number | undefined, sampleMs: number): number =>
	meanMs === undefined ? sampleMs : updateMovingAverage(meanMs, sampleMs, WINDOW_COUNT);

export const createUsualDurations = (): UsualDurations => {
	const byRoute = createRecentMap<string, number>(ROUTE_LIMIT_COUNT);
	let overallMs: number | undefined;
	return {
		ofRoute: routeId => byRoute.get(routeId),
		overall: () => overallMs,
		record(routeId, durationMs) {
			overallMs = updateMean(overallMs, durationMs);
			byRoute.set(routeId, updateMean(byRoute.get(routeId), durationMs));
		},
	};
};

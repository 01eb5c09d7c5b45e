import {createRecentMap} from '../shared/recent-map.js';
import {updateMovingAverage} from '../shared/update-moving-average.js';

/** Calls over which sizes and durations are averaged. */
const WINDOW_COUNT = 50;

/** Routes that are known at a time; those used longest ago are forgotten. */
const ROUTE_LIMIT_COUNT = 4096;

/** Mean duration assumed until a dispatcher has told one, in ms. */
const DEFAULT_WORK_MS = 250;

/** Bytes of an answer's body assumed until the route had one. */
const DEFAULT_ANSWER_BYTES = 1000;

/** What a node has learned of a route's calls. */
export type RouteKnowledge = {
	/** Mean duration of the calls, in ms. */
	workMs(routeId: string): number;
	/** Mean length of the bodies of answers, in bytes. */
	answerBytes(routeId: string): number;
	/** Records the mean duration that a dispatcher told. */
	recordWork(routeId: string, workMs: number): void;
	recordAnswer(routeId: string, bytes: number): void;
};

type Route = {readonly workMs?: number; readonly answerBytes?: number};

export const createRouteKnowledge = (): RouteKnowledge => {
	const routes = createRecentMap<string, Route>(ROUTE_LIMIT_COUNT);
	return {
		workMs: routeId => routes.get(routeId)?.workMs ?? DEFAULT_WORK_MS,
		answerBytes: routeId => routes.get(routeId)?.answerBytes ?? DEFAULT_ANSWER_BYTES,
		recordWork(routeId, workMs) {
			routes.set(routeId, {...routes.get(routeId), workMs});
		},
		recordAnswer(routeId, bytes) {
			const known = routes.get(routeId);
			const answerBytes =
				known?.answerBytes === undefined ? bytes : updateMovingAverage(known.answerBytes, bytes, WINDOW_COUNT);
			routes.set(routeId, {...known, answerBytes});
		},
	};
};

import type {Repeatability} from './work-class.js';

/** One service that a route sends calls to, with its share of them. */
export type ServiceShare = {
	readonly service: string;
	/** Share of the route's calls relative to the other services of the route. */
	readonly weight: number;
};

/** One route of a host. */
export type HostRoute = {
	readonly routeId: string;
	readonly host: string;
	/** Begins and ends with a slash. The longest matching prefix of the host wins. */
	readonly pathPrefix: string;
	/** At least one service. */
	readonly shares: readonly ServiceShare[];
	readonly repeatability: Repeatability;
	/** True for large bodies, which travel between regions last. */
	readonly isBulk: boolean;
	/** Longest time that a caller is kept waiting, in ms. */
	readonly timeoutMs: number;
	/** Time within which an answer has its full value, in ms. */
	readonly latencyObjectiveMs: number;
	/** Targets that one call may be sent to. */
	readonly attemptLimit: number;
	/** Rank of the route's calls; 0 is the most urgent. */
	readonly priority: number;
};

/** A service and what is common to its targets. */
export type FleetService = {
	readonly service: string;
	/** Path of the targets' health check. */
	readonly healthPath: string;
	/** Connections that one target accepts from the whole fleet. */
	readonly connectionLimit: number;
};

/** Bounds on what a caller may send and how long it may take. */
export type CallerLimits = {
	readonly headerLimitBytes: number;
	readonly bodyLimitBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The whole configuration of the fleet in one version. */
export type FleetCatalogue = {
	/** Rises with each edit. */
	readonly version: number;
	readonly routes: readonly HostRoute[];
	readonly services: readonly FleetService[];
	readonly limits: CallerLimits;
};

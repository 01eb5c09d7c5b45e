import type {Repeatability} from './work-class.js';

/** A service that receives a share of a route's calls. */
export type ServiceShare = {
	readonly service: string;
	/** Weight relative to the other services of the route. */
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
	/** True for large bodies. They are sent to another region only when their own region has no usable target. */
	readonly isBulk: boolean;
	/** Upper bound and default of a call's time limit, in ms. */
	readonly timeoutMs: number;
	/** Latency within which calls should be answered, in ms. */
	readonly latencyObjectiveMs: number;
	/** Number of targets to which one call may be sent. */
	readonly attemptLimit: number;
	/** Priority of the route's calls; 0 is the highest. */
	readonly priority: number;
	/** Whether calls without a workspace's key are allowed. Absent means false; without workspaces, no call needs a key. */
	readonly isPublic?: boolean;
};

/** A workspace whose callers identify themselves by one of its keys. */
export type FleetWorkspace = {
	readonly name: string;
	/** SHA-256 digests of the workspace's keys, in hexadecimal. The keys themselves are not kept. */
	readonly keyDigests: readonly string[];
	/** Priority of the workspace's calls, which goes before that of their routes; 0 is the highest. */
	readonly priority?: number;
	/** Calls a second that the workspace may make across all nodes; 0 if there is no limit. */
	readonly ratePerSecond: number;
	/** Calls that the workspace may make at once beyond its rate. */
	readonly burstCount: number;
};

/**
 * A rule of the catalogue that this version of the program cannot read. It covers the calls that it may be meant for: a missing
 * host stands for every host, and a missing prefix for every path.
 */
export type UnreadableRoute = {
	readonly routeId?: string;
	readonly host?: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix?: string;
};

/** A service, with the settings common to its targets. */
export type FleetService = {
	readonly service: string;
	/** Path of the targets' health check. */
	readonly healthPath: string;
	/** Connections that one target accepts from the whole fleet. */
	readonly connectionLimit: number;
};

/** Limits on callers' requests and connections. */
export type CallerLimits = {
	readonly headerLimitBytes: number;
	readonly bodyLimitBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the fleet's whole configuration. */
export type FleetCatalogue = {
	/** Rises with each edit. */
	readonly version: number;
	readonly routes: readonly HostRoute[];
	/** Rules that cannot be read. Their calls are refused, since the catalogue allows them but does not say how to serve them. */
	readonly unreadableRoutes: readonly UnreadableRoute[];
	readonly services: readonly FleetService[];
	readonly limits: CallerLimits;
	/** Workspaces whose keys are accepted; absent if calls need no key. */
	readonly workspaces?: readonly FleetWorkspace[];
};

import type {Repeatability, WorkClass} from './work-class.js';

/** One route of a service. */
export type RouteEntry = {
	/** Path prefix in whole segments, such as `/ratiba/sheets`. The longest matching prefix wins. */
	readonly pathPrefix: string;
	/** Upper-case HTTP methods that the route accepts. */
	readonly methods: readonly string[];
	readonly workClass: WorkClass;
	readonly repeatability: Repeatability;
	/** Longest time from admission to the end of the answer's head, in ms. */
	readonly deadlineMs: number;
	/** Largest request body in bytes. */
	readonly requestBodyLimitBytes: number;
	/** Largest answer body in bytes. */
	readonly answerBodyLimitBytes: number;
	/** Calls per second in the whole service; absent means no limit. */
	readonly rateLimitPerSecond?: number;
};

/** One target of a service. */
export type TargetEntry = {
	/** Unique within the service. */
	readonly targetId: string;
	/** IP and port, such as `127.0.0.1:7001`. */
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
	/** Number of calls that the target handles concurrently. */
	readonly slotCount: number;
	/** Connections that the target accepts. */
	readonly connectionLimit: number;
	/** True when the target must receive no new work. */
	readonly isDraining: boolean;
};

/** Limits on one workspace's use of a service. */
export type WorkspaceLimit = {
	/** Sustained calls per second. */
	readonly ratePerSecond: number;
	/** Calls that may exceed the sustained rate in a burst. */
	readonly burstCount: number;
	/** Relative share of slots when workspaces compete. */
	readonly weight: number;
};

/** Bounds of a service's queue on its scheduling nodes. */
export type QueueLimit = {
	/** Highest number of waiting calls. */
	readonly limitCount: number;
	/** Largest total size of the buffered bodies of waiting calls, in bytes. */
	readonly limitBytes: number;
};

/** Bounds of a service's at-most-once operations. */
export type OperationLimit = {
	/** How long after its minting an operation id may be used to start its work, in ms. */
	readonly expiryMs: number;
	/** How long a record is kept after its id has expired, in ms. */
	readonly retentionMs: number;
	/** Largest copy of an answer kept in a record, in bytes. */
	readonly answerCopyLimitBytes: number;
};

/** Configuration of one service, published by operators. */
export type CatalogueEntry = {
	readonly schemaVersion: 1;
	readonly service: string;
	/** Team that may edit the entry. */
	readonly owner: string;
	readonly routes: readonly RouteEntry[];
	readonly targets: readonly TargetEntry[];
	/** An ejection never reduces the slots of healthy targets to fewer than this number. */
	readonly floorSlotCount: number;
	/** Share of a group's slots that is reserved for short work, 0 to 1. */
	readonly shortReserveRatio: number;
	/** Retries allowed as a fraction of recent first attempts, 0 to 1. */
	readonly retryBudgetRatio: number;
	/** Statuses by which targets refuse a call without having done any work. */
	readonly refusalStatuses: readonly number[];
	readonly queue: QueueLimit;
	readonly defaultWorkspaceLimit: WorkspaceLimit;
	/** Limits of named workspaces that differ from the default. */
	readonly workspaceLimits: Readonly<Record<string, WorkspaceLimit>>;
	readonly operations: OperationLimit;
	/** Relative weight of the service on the region link. */
	readonly linkWeight: number;
};

import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';
import type {PeerError} from './peer-client.js';
import type {RegistryRecord, RegistryTopic} from './registry-store.js';

/** Kinds of messages between the nodes of a fleet of `bilberryd-fleet`. */
export enum FleetMessageKind {
	AcquireGrant = 'acquireGrant',
	ReportResult = 'reportResult',
	PullRegistry = 'pullRegistry',
	/** An entry node asks for tokens of a workspace's quota. */
	LeaseQuota = 'leaseQuota',
	/** A node that ranks first for shares of quotas asks its predecessor to confirm that it does not hold them. */
	ClaimQuotaShares = 'claimQuotaShares',
}

/** Result of one attempt at a target, as evidence about its health. */
export enum GrantResult {
	/** The target answered, and the answer is not a failure of the target. */
	Success = 'success',
	/** The target ran the call and answered with a failure. */
	Failure = 'failure',
	/** The target refused the call without running it. */
	Shed = 'shed',
	/** Another process is listening on the target's address. */
	Replaced = 'replaced',
	/** No connection to the target could be opened. */
	Unreachable = 'unreachable',
	/** The call was sent, and then the connection broke or the target sent bytes that are not a valid answer. */
	Broken = 'broken',
	/** The call was sent, and no answer arrived within the time limit. */
	TimedOut = 'silent',
	/** The caller disconnected, so the attempt is no evidence about the target. */
	Cancelled = 'cancelled',
}

/** What a target has announced about itself, as one node tells it to another. */
export type TargetNotice = {
	readonly targetId: string;
	/** Start of the target's process. The notice does not apply to other incarnations. */
	readonly startedAtMs: number;
	/** Whether the target is leaving and must get no new calls. */
	readonly isLeaving: boolean;
	/** Time for which the target still wants no calls, in ms; 0 if it has not asked for a pause. */
	readonly pauseLeftMs: number;
};

export type AcquireGrantRequest = {
	readonly requestId: string;
	readonly nodeId: string;
	/** Availability zone of the requesting node. */
	readonly availabilityZone: string;
	readonly routeId: string;
	readonly service: string;
	/** Region of the group's targets. */
	readonly region: string;
	/** Whether the requesting node is in another region; absent if it is not, or if it is of an earlier version. */
	readonly isFromOtherRegion?: boolean;
	/** Expected bytes of the bodies of the call and its answer; absent for requests of other regions and of earlier versions. */
	readonly bodyBytes?: number;
	/** Priority of the call's workspace and route together; 0 is the highest. */
	readonly priority: number;
	/** Workspace of the call; absent if it has none, or if the requesting node is of an earlier version. */
	readonly workspace?: string;
	readonly repeatability: domain.Repeatability;
	/** 0 for the first attempt of a call. */
	readonly attemptIndex: number;
	/**
	 * Whether the attempt is to replace one that still runs and may succeed. Absent if not, or if the requesting node is of an
	 * earlier version.
	 */
	readonly isReplacement?: boolean;
	/**
	 * Whether this is the first request for the call to any dispatcher. A call counts towards the retry budget once,
	 * even when the reply is lost and the request is repeated at another dispatcher.
	 */
	readonly isNewCall: boolean;
	/** Time left until the call's deadline, in ms. */
	readonly remainingMs: number;
	/** Time left until the latency objective is missed, in ms; negative when it has been missed. */
	readonly objectiveLeftMs: number;
	/** How long the call may wait for a slot, in ms. */
	readonly waitLimitMs: number;
	/** Whether a target that is set aside may be granted when no other target has a free slot. */
	readonly isLastResort: boolean;
	/** Ids of the targets that must not be granted for the call. */
	readonly excludedTargetIds: readonly string[];
	/** Announcements of the group's targets that the requesting node knows of. */
	readonly targetNotices: readonly TargetNotice[];
};

/** Why a dispatcher granted no target. */
export enum GrantRefusal {
	/** The dispatcher has no target of the group that may be used. */
	NoTarget = 'no-target',
	/** All slots are in use, and none is expected to become free in time. */
	Busy = 'busy',
	/** The retry budget is used up. */
	NoBudget = 'no-budget',
	/** The answer would come after the call's deadline. */
	TooLate = 'too-late',
}

export type Grant = {
	readonly isGranted: true;
	readonly grantId: string;
	readonly target: domain.RegisteredTarget;
	/**
	 * Offset of the target's record that the dispatcher uses. A node whose records show that the target was removed after it does
	 * not use the grant. Absent if the dispatcher is of an earlier version.
	 */
	readonly targetOffset?: number;
	/** Era of the store in which `targetOffset` was assigned. Absent if the dispatcher is of an earlier version. */
	readonly targetEra?: number;
	/** Why the target was chosen, for the log. */
	readonly standing: string;
	/** Mean duration of the route's calls, in ms; absent when no call has ended yet. */
	readonly usualDurationMs?: number;
};

export type GrantDenial = {
	readonly isGranted: false;
	readonly refusal: GrantRefusal;
	/** Time until a slot is expected to be free, in ms. */
	readonly predictedWaitMs: number;
	/**
	 * Time after which there will be room for the call if its caller comes back, in ms. Absent if a later request for the call may
	 * still be granted, or if the dispatcher is of an earlier version.
	 */
	readonly roomAfterMs?: number;
};

export type AcquireGrantReply = (Grant | GrantDenial) & {
	/** Announcements of the group's targets that the requesting node may not know of. */
	readonly targetNotices?: readonly TargetNotice[];
};

export type ReportResultRequest = {
	readonly grantId: string;
	readonly nodeId: string;
	readonly routeId: string;
	readonly service: string;
	readonly region: string;
	readonly targetId: string;
	readonly result: GrantResult;
	/** Time from sending to the end of the attempt, in ms. */
	readonly durationMs: number;
	/** Announcements of the target that are in force. */
	readonly targetNotices: readonly TargetNotice[];
};

export type PullRegistryRequest = {
	/** Offset to continue from in each topic; -1 to get all records. */
	readonly fromOffsets: Readonly<Record<RegistryTopic, number>>;
	/** Era of each of the offsets. Absent if the requesting node is of an earlier version or needs no records. */
	readonly fromEras?: Readonly<Record<RegistryTopic, number>>;
	/** Newest era of the store that the requesting node knows of. It does not use records of an older one. */
	readonly storeEra?: number;
	/** How long the peer may wait for a change, in ms. */
	readonly waitMs: number;
};

export type TopicChanges<Topic extends RegistryTopic> = {
	readonly records: ReadonlyArray<RegistryRecord<Topic>>;
	readonly nextOffset: number;
	/** Era of the store in which the offsets were assigned. Absent if the peer is of an earlier version. */
	readonly era?: number;
	/** Records before this offset may have been restored by the store; later ones were written in its present era. */
	readonly restoredBeforeOffset?: number;
	/** True when `records` is the whole topic, so that keys missing from it have been removed. */
	readonly isWhole: boolean;
};

/** How a node keeps its registry up to date. */
export enum RegistryRole {
	/** It pulls from relays. */
	Follower = 'follower',
	/** It pulls from readers, and reads the store itself if its records become old. In a small region, every node but the reader. */
	Relay = 'relay',
	/** It has begun to read the store, and has not yet read all topics on which the handling of calls depends. */
	StartingReader = 'starting-reader',
	/** It reads the store. */
	Reader = 'reader',
}

export type PullRegistryReply = {
	readonly topics: {readonly [Topic in RegistryTopic]: TopicChanges<Topic>};
	/** Whether the peer has lost its source or its data on a topic is too old, so that another peer should be used. */
	readonly isStale: boolean;
	readonly role: RegistryRole;
	/** Time since the store last answered a read of each topic, in ms. */
	readonly topicAgesMs: TopicAgesMs;
	/** When the store answered, as far as the peer knows; absent if it never did, or if the peer is of an earlier version. */
	readonly storeAnswers?: StoreAnswers;
	/** What the peer knows of the store's era; absent if it knows nothing, or if it is of an earlier version. */
	readonly storeEra?: StoreEra;
};

/** Newest era of the store that a node knows of. */
export type StoreEra = {
	readonly era: number;
	/** Time since a node first learned of the era, in ms. */
	readonly ageMs: number;
};

/** A time over which the store answered reads of the targets, of any node, without an outage. */
export type StoreAnswers = {
	/** Time since the last answer, in ms. */
	readonly ageMs: number;
	/** Time from the first answer after the last outage, or from the first one known, to the last, in ms. */
	readonly runMs: number;
};

/** Time since the store last answered a read of each topic, in ms. */
export type TopicAgesMs = Readonly<Record<RegistryTopic, number>>;

export type LeaseQuotaRequest = {
	readonly workspace: string;
	readonly nodeId: string;
	readonly incarnationId: string;
	/** Rises with each request of a run of the entry node. A request that arrives after a later one has no effect. */
	readonly sequence: number;
	readonly wantedCount: number;
	/** Whether calls wait for the tokens, which are then used at once or not at all. Such a request reports no unused tokens. */
	readonly isImmediate: boolean;
	/** Tokens of the receiver that the entry node holds unused. */
	readonly unusedCount: number;
	/** Tokens of the receiver that the entry node gives up unused. */
	readonly returnedCount: number;
};

export type LeaseQuotaReply = {
	readonly grantedCount: number;
	/** Whether the unused tokens are valid as long as the granted ones. */
	readonly isRenewed: boolean;
	/** Lifetime of the tokens from when the request was sent, in ms. */
	readonly leaseMs: number;
	/** Time until the receiver expects to have a token, in ms. */
	readonly nextTokenMs: number;
};

/** Shares of the quotas of a partition's workspaces. */
export type QuotaShares = {readonly partition: number; readonly share: number};

export type ClaimQuotaSharesRequest = {
	/** The node that will hold the shares. */
	readonly nodeId: string;
	readonly shares: readonly QuotaShares[];
};

export type ClaimQuotaSharesReply = {
	/** The shares that the receiver does not hold. */
	readonly released: ReadonlyArray<
		QuotaShares & {
			/** Time for which the receiver is known not to have held them, in ms. */
			readonly idleMs: number;
		}
	>;
};

/** Request and reply types of each kind of message. */
export type FleetMessages = {
	[FleetMessageKind.AcquireGrant]: {request: AcquireGrantRequest; reply: AcquireGrantReply};
	[FleetMessageKind.ReportResult]: {request: ReportResultRequest; reply: Record<string, never>};
	[FleetMessageKind.PullRegistry]: {request: PullRegistryRequest; reply: PullRegistryReply};
	[FleetMessageKind.LeaseQuota]: {request: LeaseQuotaRequest; reply: LeaseQuotaReply};
	[FleetMessageKind.ClaimQuotaShares]: {request: ClaimQuotaSharesRequest; reply: ClaimQuotaSharesReply};
};

/** Handlers for each kind of message. */
export type FleetMessageHandlers = {
	readonly [Kind in FleetMessageKind]: (
		request: FleetMessages[Kind]['request'],
		signal: AbortSignal,
	) => Promise<FleetMessages[Kind]['reply']>;
};

export type RequestOptions = {
	readonly signal: AbortSignal;
	/** Called whenever a part of the reply arrives. */
	readonly noteProgress?: () => void;
};

/** Sends messages to other nodes. */
export type FleetPeerClient = {
	request<Kind extends FleetMessageKind>(
		address: string,
		kind: Kind,
		request: FleetMessages[Kind]['request'],
		options: RequestOptions,
	): Promise<neverthrow.Result<FleetMessages[Kind]['reply'], PeerError>>;
};

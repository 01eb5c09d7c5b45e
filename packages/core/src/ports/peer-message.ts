import type * as domain from '@bilberrydoor/domain';

/** Kinds of control messages between the nodes of a fleet of `bilberryd`. */
export enum PeerMessageKind {
	Probe = 'probe',
	IndirectProbe = 'indirectProbe',
	PullRecords = 'pullRecords',
	PullSnapshot = 'pullSnapshot',
	MintOperations = 'mintOperations',
	ReadOperation = 'readOperation',
	TakeOverOperations = 'takeOverOperations',
	ReportLeavingTarget = 'reportLeavingTarget',
	TestTarget = 'testTarget',
}

export type ProbeRequest = {
	/** State of the sending node, as reported by itself. */
	readonly sender: domain.MemberUpdate;
	readonly appliedOffset: number;
	/** Time since the sender last got a message from the receiver's region, in ms. The reply has the changes since. */
	readonly silenceMs: number;
	readonly updates: readonly domain.MemberUpdate[];
};

export type ProbeReply = {
	/** State of the answering node, as reported by itself. */
	readonly responder: domain.MemberUpdate;
	readonly appliedOffset: number;
	readonly updates: readonly domain.MemberUpdate[];
};

export type IndirectProbeRequest = {
	readonly subjectAddress: string;
	readonly updates: readonly domain.MemberUpdate[];
};

export type IndirectProbeReply = {
	readonly isReached: boolean;
	/** Time since the subject last sent a message to the answering node, in ms; absent when it sent none. */
	readonly heardAgoMs?: number;
	readonly updates: readonly domain.MemberUpdate[];
};

export type PullRecordsRequest = {
	readonly fromOffset: number;
	readonly limitCount: number;
	/** How long the peer may wait for a record, in ms. */
	readonly waitMs: number;
};

/** Where a node that relays records receives them from. */
export enum RelayFreshness {
	/** Its latest read of the log succeeded. */
	Log = 'log',
	/** It receives records from a node that is not stale. */
	Relayed = 'relayed',
	/** It has no working source of records, so its catalogue may be outdated. */
	Stale = 'stale',
}

export type PullRecordsReply = {
	/** Edits only; snapshot parts are left out. */
	readonly records: readonly domain.LoggedRecord[];
	/** Offset to continue from. Offsets before it that `records` leaves out hold no edits. */
	readonly nextOffset: number;
	/** Offset up to which the peer has applied the log; -1 when it has applied nothing. */
	readonly appliedOffset: number;
	/** True when the peer no longer holds the records from `fromOffset`, so that a snapshot is needed. */
	readonly isTruncated: boolean;
	readonly freshness: RelayFreshness;
};

export type PullSnapshotRequest = {
	readonly partIndex: number;
	/** Snapshot to read the part of; absent for the newest one. */
	readonly snapshot?: {readonly offset: number; readonly digest: string};
};

export type PullSnapshotReply = {
	/** Absent when the peer has no catalogue or no longer holds the requested snapshot. */
	readonly part?: domain.SnapshotPart;
	/** Offset up to which the peer has applied the log; -1 when it has applied nothing. */
	readonly appliedOffset: number;
};

export type MintOperationsRequest = {readonly service: string; readonly count: number};

export type MintOperationsReply = {
	/** Empty when the node cannot mint ids now; `detail` gives the reason. */
	readonly operationIds: readonly string[];
	readonly detail?: string;
};

export type ReadOperationRequest = {readonly operationId: string; readonly workspace: string};

export type ReadOperationReply = {
	/** True when the node is the executor itself or has taken over all its records. */
	readonly isAuthoritative: boolean;
	/** Absent when there is no record of the id for the workspace. */
	readonly state?: domain.OperationState;
	/** True when work that has not been started under this id will never be started. */
	readonly isExpired: boolean;
	readonly reason?: domain.RefusalReason;
	/** Status of the target's answer; present with `Completed`. */
	readonly answerStatus?: number;
	readonly detail?: string;
};

/** One operation record in a hand-over, in its final state. */
export type TransferredOperation = {
	readonly serial: number;
	readonly service: string;
	readonly workspace: string;
	readonly fingerprint: string;
	readonly state: domain.OperationState;
	readonly reason?: domain.RefusalReason;
	readonly detail?: string;
	/** Present with `Completed`. */
	readonly answer?: {
		readonly status: number;
		readonly headers: domain.HeaderList;
		/** Absent when it was too large to be kept. */
		readonly body?: Uint8Array;
	};
};

/**
 * One batch of the records of an incarnation that has been sealed: it starts no more operations. Batches may arrive
 * repeatedly and in any order; the hand-over is complete when all batches of one sender have arrived.
 */
export type TakeOverOperationsRequest = {
	readonly from: domain.Incarnation;
	/** Incarnation id of the sending node, which need not be the origin of the records. */
	readonly senderId: string;
	readonly batchIndex: number;
	readonly batchCount: number;
	readonly records: readonly TransferredOperation[];
	/** For each service, the latest expiry of ids whose records have been dropped, in ms on the executor's clock. */
	readonly forgotten: ReadonlyArray<{readonly service: string; readonly untilMs: number}>;
	/** How long the receiver must keep the records, in ms. */
	readonly remainingRetentionMs: number;
};

export type TakeOverOperationsReply = {
	readonly isAccepted: boolean;
	/** True when all batches have arrived. */
	readonly isComplete: boolean;
};

export type ReportLeavingTargetRequest = {readonly service: string; readonly targetId: string};

export type ReportLeavingTargetReply = Record<string, never>;

export type TestTargetRequest = {readonly service: string; readonly targetId: string};

export type TestTargetReply = {readonly isReached: boolean; readonly latencyMs: number};

/** Request and reply of each kind. */
export type PeerMessages = {
	[PeerMessageKind.Probe]: {request: ProbeRequest; reply: ProbeReply};
	[PeerMessageKind.IndirectProbe]: {request: IndirectProbeRequest; reply: IndirectProbeReply};
	[PeerMessageKind.PullRecords]: {request: PullRecordsRequest; reply: PullRecordsReply};
	[PeerMessageKind.PullSnapshot]: {request: PullSnapshotRequest; reply: PullSnapshotReply};
	[PeerMessageKind.MintOperations]: {request: MintOperationsRequest; reply: MintOperationsReply};
	[PeerMessageKind.ReadOperation]: {request: ReadOperationRequest; reply: ReadOperationReply};
	[PeerMessageKind.TakeOverOperations]: {request: TakeOverOperationsRequest; reply: TakeOverOperationsReply};
	[PeerMessageKind.ReportLeavingTarget]: {request: ReportLeavingTargetRequest; reply: ReportLeavingTargetReply};
	[PeerMessageKind.TestTarget]: {request: TestTargetRequest; reply: TestTargetReply};
};

/** One handler for each kind of message. */
export type PeerHandlers = {
	[Kind in PeerMessageKind]: (
		request: PeerMessages[Kind]['request'],
		signal: AbortSignal,
	) => Promise<PeerMessages[Kind]['reply']>;
};

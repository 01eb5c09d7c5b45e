import type * as domain from '@bilberrydoor/domain';

/** Outcome of an edit, as reported to the operator. */
export enum EditOutcome {
	Accepted = 'accepted',
	Rejected = 'rejected',
	/** The edit may be in the log; repeating it with the same edit id gives the final outcome. */
	NotYetKnown = 'not-yet-known',
}

/** Why an edit is not accepted, or not yet. */
export enum EditRefusal {
	/** The operator's teams do not own the entry. */
	NotOwner = 'not-owner',
	/** The entry names another service than the edit. */
	ServiceMismatch = 'service-mismatch',
	/** Another edit was accepted after the base revision. */
	StaleRevision = 'stale-revision',
	/** The edit is based on a revision that this node has not read from the log. */
	UnknownRevision = 'unknown-revision',
	NothingToRemove = 'nothing-to-remove',
	/** The edit id belongs to an earlier edit of another service. */
	EditIdReused = 'edit-id-reused',
	TooLarge = 'too-large',
	/** The node has no catalogue yet, so it can check neither owners nor revisions. */
	NotReady = 'not-ready',
	LogUnavailable = 'log-unavailable',
}

export type EditReport = {
	readonly outcome: EditOutcome;
	readonly editId: string;
	readonly detail: string;
	/** Revision of the entry on this node. */
	readonly revision: number;
	/** Log offset of the edit, when known. */
	readonly offset?: number;
	/** Absent when the edit was accepted or has not been read from the log yet. */
	readonly refusal?: EditRefusal;
};

/** An operator's name and the owners whose entries the operator may edit. */
export type Operator = {
	readonly name: string;
	/** `*` means all. */
	readonly teams: readonly string[];
};

/** A request for an edit; the author is added from the operator. */
export type EditRequest = Omit<domain.EditRecord, 'kind' | 'author'>;

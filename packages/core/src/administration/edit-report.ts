import type * as domain from '@bilberrydoor/domain';

/** What the operator learns of an edit. */
export enum EditOutcome {
	Accepted = 'accepted',
	Rejected = 'rejected',
	/** The edit may be in the log; asking again with the same edit id settles it. */
	NotYetKnown = 'not-yet-known',
}

/** Why an edit is not accepted, or not yet. */
export enum EditRefusal {
	/** The operator's teams do not own the entry. */
	NotOwner = 'not-owner',
	/** The entry names another service than the edit. */
	ServiceMismatch = 'service-mismatch',
	/** Another edit came first. */
	StaleRevision = 'stale-revision',
	/** The edit names a revision that this node has not seen. */
	UnknownRevision = 'unknown-revision',
	NothingToRemove = 'nothing-to-remove',
	/** The edit id belongs to an earlier edit of another service. */
	EditIdReused = 'edit-id-reused',
	TooLarge = 'too-large',
	/** The node has no catalogue yet, so it knows neither owners nor revisions. */
	NotReady = 'not-ready',
	LogUnavailable = 'log-unavailable',
}

export type EditReport = {
	readonly outcome: EditOutcome;
	readonly editId: string;
	readonly detail: string;
	/** Revision of the entry as this node knows it. */
	readonly revision: number;
	/** Log offset of the edit, when known. */
	readonly offset?: number;
	/** Present when a rule decided; absent while the edit is awaited in the log. */
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

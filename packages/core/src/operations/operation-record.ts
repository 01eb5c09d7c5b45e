import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {replayBody} from '../shared/buffer-body.js';

/** A target's whole answer, as stored in a record. */
export type StoredAnswer = {
	readonly outcome: domain.Outcome.Completed;
	readonly status: number;
	readonly headers: domain.HeaderList;
	/** Absent when the body was too large to be stored. */
	readonly body?: Uint8Array;
};

/** Ending of an operation, as stored in a record. */
export type StoredEnding = StoredAnswer | domain.NotRunEnding | domain.UnknownEnding;

/** Record of one submitted operation on its executor. */
export type OperationRecord = {
	readonly serial: number;
	readonly service: string;
	readonly workspace: string;
	readonly fingerprint: string;
	/** Time on the executor's monotonic clock after which the work never starts, in ms. */
	readonly expiresAtMs: number;
	state: domain.OperationState;
	/** Present in the states `Completed`, `NotRun` and `Unknown`. */
	ending?: StoredEnding;
	/** Resolves with the ending when the attempt is over; absent afterwards. */
	attempt?: Promise<StoredEnding>;
	/** When the record may be dropped, on the executor's monotonic clock, in ms. */
	dropAtMs: number;
};

/** Allowed transitions of each state. A late answer may resolve an unknown operation; the other endings are final. */
const TRANSITIONS: Record<domain.OperationState, readonly domain.OperationState[]> = {
	[domain.OperationState.Queued]: [
		domain.OperationState.Dispatched,
		domain.OperationState.NotRun,
		domain.OperationState.Unknown,
	],
	[domain.OperationState.Dispatched]: [
		domain.OperationState.Completed,
		domain.OperationState.NotRun,
		domain.OperationState.Unknown,
	],
	[domain.OperationState.Unknown]: [domain.OperationState.Completed, domain.OperationState.NotRun],
	[domain.OperationState.Completed]: [],
	[domain.OperationState.NotRun]: [],
};

const STATES_BY_OUTCOME: Record<domain.Outcome, domain.OperationState> = {
	[domain.Outcome.Completed]: domain.OperationState.Completed,
	[domain.Outcome.NotRun]: domain.OperationState.NotRun,
	[domain.Outcome.Unknown]: domain.OperationState.Unknown,
};

export const findStateOfEnding = (ending: StoredEnding): domain.OperationState => STATES_BY_OUTCOME[ending.outcome];

/** Moves a record to a state. Returns false, and changes nothing, when the transition is not allowed. */
export const advanceRecord = (
	record: OperationRecord,
	state: domain.OperationState,
	ending?: StoredEnding,
): boolean => {
	if (!TRANSITIONS[record.state].includes(state)) {
		return false;
	}

	record.state = state;
	record.ending = ending;
	return true;
};

/** Converts a stored ending to the ending of a call. */
export const replayEnding = (ending: StoredEnding): domain.CallEnding => {
	if (ending.outcome !== domain.Outcome.Completed) {
		return ending;
	}

	return ending.body
		? domain.completed({status: ending.status, headers: ending.headers, body: replayBody(ending.body)})
		: domain.unknown(
				domain.RefusalReason.AnswerTooLarge,
				`the target ran the work and answered with status ${ending.status}, but the answer was too large to be kept`,
			);
};

/** Longest explanation that is sent to other nodes, in characters. A longer one would make the whole message invalid. */
const DETAIL_LIMIT_CHARACTERS = 256;

/** Cuts an explanation to the length that messages between nodes accept. */
export const limitDetail = (detail: string): string => detail.slice(0, DETAIL_LIMIT_CHARACTERS);

/** The fields of a record that callers may read; the answer's body is left out. */
export const describeRecord = (
	record: Pick<OperationRecord, 'state' | 'ending'>,
): Pick<ports.ReadOperationReply, 'state' | 'reason' | 'answerStatus' | 'detail'> => {
	const {state, ending} = record;
	if (!ending) {
		return {state};
	}

	return ending.outcome === domain.Outcome.Completed
		? {state, answerStatus: ending.status}
		: {state, reason: ending.reason, detail: limitDetail(ending.detail)};
};

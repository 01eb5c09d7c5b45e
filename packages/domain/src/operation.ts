import type {Incarnation} from './incarnation.js';

/** State of an operation's record on its executor. */
export enum OperationState {
	Queued = 'queued',
	Dispatched = 'dispatched',
	Completed = 'completed',
	NotRun = 'notRun',
	Unknown = 'unknown',
}

/** Content of an operation id, which is sent as an authenticated token. */
export type OperationIdentity = {
	readonly executor: Incarnation;
	readonly service: string;
	readonly serial: number;
	/** Instant on the executor's monotonic clock after which the work never starts, in ms. */
	readonly expiresAtMs: number;
};

import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

export enum LogErrorKind {
	/** The append or read certainly had no effect. */
	Unavailable = 'unavailable',
	/** The append may have taken effect: its answer was lost. */
	Uncertain = 'uncertain',
	/** The records at the requested offset have expired; `firstOffset` is the oldest offset still kept. */
	Truncated = 'truncated',
}

export type LogError = {
	readonly kind: LogErrorKind;
	readonly detail: string;
	/** Oldest offset still kept; present with `Truncated`. */
	readonly firstOffset?: number;
};

export type LogReadRequest = {
	readonly fromOffset: number;
	readonly limitCount: number;
	/** How long the service may wait for a record before it replies without any, in ms. */
	readonly waitMs: number;
};

export type LogReadReply = {
	readonly records: readonly domain.LoggedRecord[];
	/** Oldest offset still kept. */
	readonly firstOffset: number;
	/** Offset that the next appended record will get. */
	readonly endOffset: number;
	/** Offset to continue reading from. It may lie beyond the last record when unreadable records were skipped. */
	readonly nextOffset: number;
};

/** The platform's append-only log. Reads and appends may fail at any moment. */
export type LogService = {
	append(record: domain.CatalogueRecord, signal?: AbortSignal): Promise<neverthrow.Result<number, LogError>>;
	read(request: LogReadRequest, signal?: AbortSignal): Promise<neverthrow.Result<LogReadReply, LogError>>;
};

import * as core from '@bilberrydoor/core';

/** Limits that clients can reach. */
export enum ClientLimit {
	/** More bytes were sent ahead than there is room for. */
	ReadAhead = 'read-ahead',
	/** Too many empty lines were sent before a request. */
	EmptyLines = 'empty-lines',
	/** A head is too large, and has not arrived completely. */
	HeadSize = 'head-size',
	/** A request has too many header lines. */
	HeaderLines = 'header-lines',
	/** Trailers, or what is between the chunks of a body, are too large. */
	ChunkOverhead = 'chunk-overhead',
	/** There are too many connections. */
	Connections = 'connections',
	/** There is no room for another request. */
	Requests = 'requests',
	/** There is no room for another request's body. */
	Uploads = 'uploads',
	/** There is no room for the answers that callers have not read. */
	UnreadAnswers = 'unread-answers',
	/** A caller has not read its answer for too long. */
	SlowReader = 'slow-reader',
	/** A caller has sent nothing more of its body for too long, while there is no room for the bodies of others. */
	SlowSender = 'slow-sender',
	/** A caller has left before its request was handled. */
	CallerLeft = 'caller-left',
}

export type ClientLimits = {
	/** Largest number of open connections. */
	readonly connectionLimitCount: number;
	/** Requests of one connection that are handled before the first of them is answered. */
	readonly readAheadLimitCount: number;
	/** Largest number of header lines of a request. */
	readonly headerLineLimitCount: number;
	/** Longest time for which a caller may leave an answer unread, or stop in the middle of a body, in ms. */
	readonly stalledLimitMs: number;
};

/** Counts and logs the limits that clients reach. */
export type ClientLimitLog = (limit: ClientLimit) => void;

/** Least time between two log lines about the same limit, in ms. */
const LOG_INTERVAL_MS = 1000;

export const createClientLimitLog = (parts: {
	readonly logger: core.Logger;
	readonly metrics: core.Metrics;
}): ClientLimitLog => {
	const lines = new Map<ClientLimit, {nextAtMs: number; skippedCount: number}>();
	return limit => {
		parts.metrics.increment(core.CounterName.ClientLimits, {limit});
		const line = lines.get(limit) ?? {nextAtMs: Number.NEGATIVE_INFINITY, skippedCount: 0};
		lines.set(limit, line);
		if (performance.now() < line.nextAtMs) {
			line.skippedCount++;
			return;
		}

		parts.logger.info('client reached a limit', {
			event: core.LogEvent.ClientLimited,
			limit,
			skippedCount: line.skippedCount,
		});
		line.nextAtMs = performance.now() + LOG_INTERVAL_MS;
		line.skippedCount = 0;
	};
};

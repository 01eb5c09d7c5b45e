/** A record with its offset. */
export type StoredRecord = {readonly offset: number; readonly value: unknown};

export type LogStreamOptions = {
	/** Number of records kept in a stream; older ones expire. */
	readonly retentionCount: number;
};

export const DEFAULT_LOG_STREAM_OPTIONS: LogStreamOptions = {retentionCount: 10_000};

/** One append-only stream in memory. */
export type LogStream = {
	append(value: unknown): number;
	/** Returns the records from an offset on. When there are none, waits up to `waitMs` for one. */
	read(fromOffset: number, limitCount: number, waitMs: number): Promise<readonly StoredRecord[]>;
	firstOffset(): number;
	endOffset(): number;
};

export const createLogStream = (given: Partial<LogStreamOptions> = {}): LogStream => {
	const options = {...DEFAULT_LOG_STREAM_OPTIONS, ...given};
	let records: StoredRecord[] = [];
	let endOffset = 0;
	let waiters: Array<() => void> = [];

	const select = (fromOffset: number, limitCount: number): StoredRecord[] =>
		records.filter(record => record.offset >= fromOffset).slice(0, limitCount);

	return {
		append(value) {
			const offset = endOffset;
			endOffset++;
			records = [...records, {offset, value}].slice(-options.retentionCount);
			const notifiedWaiters = waiters;
			waiters = [];
			notifiedWaiters.forEach(wake => {
				wake();
			});
			return offset;
		},
		async read(fromOffset, limitCount, waitMs) {
			const available = select(fromOffset, limitCount);
			if (available.length > 0 || waitMs === 0) {
				return available;
			}

			await new Promise<void>(resolve => {
				waiters.push(resolve);
				setTimeout(resolve, waitMs).unref();
			});
			return select(fromOffset, limitCount);
		},
		firstOffset: () => records[0]?.offset ?? endOffset,
		endOffset: () => endOffset,
	};
};

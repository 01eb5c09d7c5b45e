/** A record with its offset. */
export type StoredRecord = {readonly offset: number; readonly value: unknown};

export type LogStoreOptions = {
	/** Number of records kept in a stream; older ones expire. */
	readonly retentionCount: number;
};

export const DEFAULT_LOG_STORE_OPTIONS: LogStoreOptions = {retentionCount: 10_000};

/** One append-only stream in memory. */
export type LogStore = {
	append(value: unknown): number;
	/** Returns the records from an offset on. When there are none, waits up to `waitMs` for one. */
	read(fromOffset: number, limitCount: number, waitMs: number): Promise<readonly StoredRecord[]>;
	firstOffset(): number;
	endOffset(): number;
};

export const createLogStore = (given: Partial<LogStoreOptions> = {}): LogStore => {
	const options = {...DEFAULT_LOG_STORE_OPTIONS, ...given};
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
			const ready = waiters;
			waiters = [];
			ready.forEach(wake => {
				wake();
			});
			return offset;
		},
		async read(fromOffset, limitCount, waitMs) {
			const found = select(fromOffset, limitCount);
			if (found.length > 0 || waitMs === 0) {
				return found;
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

/** Source of time, so that the same code can run in real and in virtual time. */
export type Clock = {
	/** Monotonic time in ms; its zero is arbitrary. */
	monotonicMs(): number;
	/** Wall-clock time in ms since 1970, only for display and for the validity windows of messages. */
	wallMs(): number;
	/** Resolves after `durationMs`, or at once when `signal` is aborted. Never rejects. */
	sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
};

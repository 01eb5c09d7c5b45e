import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';
import type * as ports from '../ports/index.js';

/** Appends to the log, one after the other. */
export type PacedAppend = (
	record: domain.CatalogueRecord,
	signal?: AbortSignal,
) => Promise<neverthrow.Result<number, ports.LogError>>;

/** The log takes several hundred appends a second, and one node uses at most 10 of them. */
const APPEND_PERIOD_MS = 100;

/** Bounds the append rate of this node. Appends wait for their turn in order. */
export const createPacedAppend = (dependencies: {clock: ports.Clock; logService: ports.LogService}): PacedAppend => {
	const {clock, logService} = dependencies;
	let nextTurnMs = 0;
	return async (record, signal) => {
		const turnMs = Math.max(clock.monotonicMs(), nextTurnMs);
		nextTurnMs = turnMs + APPEND_PERIOD_MS;
		const waitMs = turnMs - clock.monotonicMs();
		if (waitMs > 0) {
			await clock.sleep(waitMs, signal);
		}

		return logService.append(record, signal);
	};
};

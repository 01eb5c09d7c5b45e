import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';
import type * as ports from '../ports/index.js';

/** Appends a record to the log at a limited rate. */
export type PacedAppend = (
	record: domain.CatalogueRecord,
	signal?: AbortSignal,
) => Promise<neverthrow.Result<number, ports.LogError>>;

/** Time between two appends of this node. The log takes several hundred a second; one node uses at most 10. */
const APPEND_PERIOD_MS = 100;

/** Limits the append rate of this node. Appends are started in the order of the calls. */
export const createPacedAppend = (dependencies: {clock: ports.Clock; logService: ports.LogService}): PacedAppend => {
	const {clock, logService} = dependencies;
	let nextAppendAtMs = 0;
	return async (record, signal) => {
		const appendAtMs = Math.max(clock.monotonicMs(), nextAppendAtMs);
		nextAppendAtMs = appendAtMs + APPEND_PERIOD_MS;
		const waitMs = appendAtMs - clock.monotonicMs();
		if (waitMs > 0) {
			await clock.sleep(waitMs, signal);
		}

		return logService.append(record, signal);
	};
};

import type {GrantAnswer, GrantClient, HeldGrant} from '../grants/grant-client.js';
import * as ports from '../ports/index.js';
import type {CallState} from './call-state.js';
import type {ProxyOptions} from './proxy-options.js';

export type SlowAttemptParts = {
	readonly clock: ports.Clock;
	readonly grants: Pick<GrantClient, 'report'>;
	readonly options: Pick<ProxyOptions, 'slowAttemptFactor' | 'slowAttemptObjectiveRatio'>;
	/** Asks for a grant for the call as it stands. */
	readonly acquire: (state: CallState, signal: AbortSignal) => Promise<GrantAnswer>;
	/** Whether another attempt may follow one that may have run. */
	readonly mayRepeat: (state: CallState) => boolean;
	/** Whether an attempt may start now. */
	readonly mayStartNow: (state: CallState) => boolean;
};

/** Waits beside an attempt, and stops it once it is slow and there is a grant for the next one. */
export type SlowAttemptReplacer = (
	state: CallState,
	grant: HeldGrant,
	attemptSignals: {ended: AbortSignal; stop: () => void},
) => Promise<void>;

export const createSlowAttemptReplacer = (parts: SlowAttemptParts): SlowAttemptReplacer => {
	const {clock, grants, options} = parts;

	/** Time after which an attempt is slow, in ms; undefined when no other may take its place. */
	const findSlowMs = (state: CallState, grant: HeldGrant): number | undefined => {
		const isReplaceable = parts.mayRepeat(state) && state.sentCount + 1 < state.route.attemptLimit;
		return isReplaceable && grant.usualDurationMs !== undefined
			? Math.max(
					grant.usualDurationMs * options.slowAttemptFactor,
					state.route.latencyObjectiveMs * options.slowAttemptObjectiveRatio,
				)
			: undefined;
	};

	return async (state, grant, {ended, stop}) => {
		const slowMs = findSlowMs(state, grant);
		if (slowMs === undefined) {
			return;
		}

		await clock.sleep(slowMs, ended);
		if (ended.aborted) {
			return;
		}

		const next = await parts.acquire(
			{
				...state,
				sentCount: state.sentCount + 1,
				excludedTargetIds: [...state.excludedTargetIds, grant.target.targetId],
			},
			ended,
		);
		// Without a grant the attempt goes on.
		if (!next.isGranted) {
			return;
		}

		if (ended.aborted || !parts.mayStartNow(state)) {
			grants.report(next, ports.GrantResult.Cancelled, 0);
			return;
		}

		state.nextGrant = next;
		stop();
	};
};

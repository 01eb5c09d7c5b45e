import type {GrantClient} from '../grants/grant-client.js';
import type {GrantAnswer, HeldGrant} from '../grants/held-grant.js';
import * as ports from '../ports/index.js';
import type {CallState} from './call-state.js';
import type {ProxyOptions} from './proxy-options.js';

export type SlowAttemptParts = {
	readonly clock: ports.Clock;
	readonly grants: Pick<GrantClient, 'report'>;
	readonly options: Pick<ProxyOptions, 'slowAttemptFactor' | 'slowAttemptObjectiveRatio'>;
	/** Requests a grant for the next attempt of the call. */
	readonly acquire: (state: CallState, signal: AbortSignal) => Promise<GrantAnswer>;
	/** Whether the call may be sent again after an attempt that a target may have run. */
	readonly mayRepeat: (state: CallState) => boolean;
	/** Whether an attempt may start now. */
	readonly mayStartNow: (state: CallState) => boolean;
};

/** Runs alongside an attempt, and aborts it if it is slow and a grant for a replacement is available. */
export type SlowAttemptReplacer = (
	state: CallState,
	grant: HeldGrant,
	attemptSignals: {ended: AbortSignal; stop: () => void},
) => Promise<void>;

export const createSlowAttemptReplacer = (parts: SlowAttemptParts): SlowAttemptReplacer => {
	const {clock, grants, options} = parts;

	/** Time after which an attempt counts as slow, in ms; undefined if it may not be replaced. */
	const computeSlowThresholdMs = (state: CallState, grant: HeldGrant): number | undefined => {
		const isReplaceable = parts.mayRepeat(state) && state.sentCount + 1 < state.route.attemptLimit;
		return isReplaceable && grant.usualDurationMs !== undefined
			? Math.max(
					grant.usualDurationMs * options.slowAttemptFactor,
					state.route.latencyObjectiveMs * options.slowAttemptObjectiveRatio,
				)
			: undefined;
	};

	return async (state, grant, {ended, stop}) => {
		const slowThresholdMs = computeSlowThresholdMs(state, grant);
		if (slowThresholdMs === undefined) {
			return;
		}

		await clock.sleep(slowThresholdMs, ended);
		if (ended.aborted || !parts.mayRepeat(state)) {
			return;
		}

		const replacement = await parts.acquire(
			{
				...state,
				sentCount: state.sentCount + 1,
				excludedTargetIds: [...state.excludedTargetIds, grant.target.targetId],
			},
			ended,
		);
		// Without a grant the slow attempt continues.
		if (!replacement.isGranted) {
			return;
		}

		if (ended.aborted || !parts.mayStartNow(state) || !parts.mayRepeat(state)) {
			grants.report(replacement, ports.GrantResult.Cancelled, 0);
			return;
		}

		state.replacementGrant = replacement;
		stop();
	};
};

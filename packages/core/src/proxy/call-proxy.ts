import * as domain from '@bilberrydoor/domain';
import type {ByteRecorder, GrantClient} from '../grants/grant-client.js';
import type {GrantAnswer, HeldGrant} from '../grants/held-grant.js';
import * as ports from '../ports/index.js';
import type {WorkspaceQuotas} from '../quotas/workspace-quotas.js';
import type {Registry} from '../registry/registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {STOP_REASON} from '../shared/stop-reason.js';
import {combinePriorities, yieldPriority} from '../workspaces/combine-priorities.js';
import {limitAnswerTime} from './limit-answer-time.js';
import {ANSWER_VERDICTS, ERROR_VERDICTS, GRANT_REFUSAL_REASONS} from './attempt-verdicts.js';
import {canSendBody, isBodyBroken, measureAnswer, measureBody} from './call-body.js';
import type {CallState} from './call-state.js';
import {computeDeadlineAtMs, createCallAdmissions, refuse, type CallAdmission} from './call-admission.js';
import {createCatalogueIndex, type CatalogueIndex} from './catalogue-index.js';
import {pickService} from './pick-service.js';
import {DEFAULT_PROXY_OPTIONS, type ProxyOptions} from './proxy-options.js';
import {createEndingRecorder} from './record-ending.js';
import {computeReturnMs} from './retry-after.js';
import {createSlowAttemptReplacer} from './replace-slow-attempt.js';
import {mayStart, type StopPlan} from './stop-plan.js';

export type CallProxyParts = {
	readonly registry: Registry;
	readonly grants: GrantClient;
	readonly targetClient: ports.FleetTargetClient;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly options?: Partial<ProxyOptions>;
	/** Limits of the workspaces' calls; by default there are none. */
	readonly quotas?: WorkspaceQuotas;
	/** Called with the bytes of each attempt; by default they are not counted. */
	readonly recordBytes?: ByteRecorder;
	/** Reads the indexed catalogue in force; by default the proxy indexes the registry's catalogue itself. */
	readonly readIndex?: () => CatalogueIndex | undefined;
	/** The plan of the node's shutdown; undefined while it is not stopping. */
	readonly readStopPlan?: () => StopPlan | undefined;
};

/** Proxies calls from callers to targets. */
export type CallProxy = {
	/**
	 * Decides by a call's head whether it may be handled, before its body is read. A refusal is recorded as the call's ending.
	 */
	admit(head: domain.CallHead, signal: AbortSignal): Promise<CallAdmission>;
	/** Handles one call; `signal` is aborted when the caller disconnects. */
	handle(call: domain.ProxiedCall, signal: AbortSignal): Promise<domain.ProxyEnding>;
};

/** Meanings of answers that may be forwarded to the caller. */
const FORWARDABLE_MEANINGS: ReadonlySet<ports.AnswerMeaning> = new Set([
	ports.AnswerMeaning.Completed,
	ports.AnswerMeaning.Failed,
]);

export const createCallProxy = (parts: CallProxyParts): CallProxy => {
	const {registry, grants, clock, logger, metrics} = parts;
	const options = {...DEFAULT_PROXY_OPTIONS, ...parts.options};
	const {readStopPlan = () => undefined} = parts;
	const {readIndex = createCatalogueIndex(registry)} = parts;
	const admissions = createCallAdmissions({readIndex, random: parts.random, options, quotas: parts.quotas});

	const remainingMs = (state: CallState): number => state.deadlineAtMs - clock.monotonicMs();

	/** Time left until the call's deadline or the end of the node's shutdown, whichever is earlier, in ms. */
	const usableMs = (state: CallState): number => {
		const stopLeftMs = (readStopPlan()?.endsAtMs ?? Number.POSITIVE_INFINITY) - clock.monotonicMs();
		return Math.min(remainingMs(state), stopLeftMs);
	};

	const mayStartNow = (state: CallState): boolean => mayStart(readStopPlan(), clock.monotonicMs(), remainingMs(state));

	const acquire = async (state: CallState, signal: AbortSignal): Promise<GrantAnswer> => {
		const isNewCall = !state.isGrantRequested;
		state.isGrantRequested = true;
		return grants.acquire(
			{
				isNewCall,
				requestId: state.call.requestId,
				routeId: state.route.routeId,
				service: state.service,
				priority: state.priority,
				workspace: state.call.workspace,
				repeatability: state.route.repeatability,
				isBulk: state.route.isBulk,
				bodyBytes: measureBody(state.call),
				attemptIndex: state.sentCount,
				isReplacement: state.isAttempting,
				remainingMs: usableMs(state),
				objectiveLeftMs: state.call.receivedAtMs + state.route.latencyObjectiveMs - clock.monotonicMs(),
				excludedTargetIds: state.excludedTargetIds,
			},
			signal,
		);
	};

	/** Whether the call may be sent again after an attempt that a target may have run. */
	const mayRepeat = (state: CallState): boolean =>
		state.route.repeatability === domain.Repeatability.Repeatable &&
		state.sentCount < state.route.attemptLimit &&
		canSendBody(state.call);

	const replaceSlowAttempt = createSlowAttemptReplacer({clock, grants, options, acquire, mayRepeat, mayStartNow});

	const logAttempt = (
		state: CallState,
		grant: HeldGrant,
		result: ports.GrantResult,
		fields: Record<string, unknown>,
	): void => {
		// Retries are logged at info level with any result. Each can thus be traced to the dispatcher whose retry budget it used.
		const isPlain = result === ports.GrantResult.Success || result === ports.GrantResult.Cancelled;
		const isNotable = !isPlain || state.sentCount > 0;
		(isNotable ? logger.info : logger.debug)('attempt ended', {
			event: ports.LogEvent.AttemptEnded,
			requestId: state.call.requestId,
			routeId: state.route.routeId,
			service: state.service,
			targetId: grant.target.targetId,
			targetStartedAtMs: grant.target.startedAtMs,
			address: grant.target.address,
			standing: grant.standing,
			dispatcher: grant.dispatcher.nodeId,
			attempt: state.sentCount,
			result,
			...fields,
		});
	};

	/** Sends the call to the granted target and reports the result. Resolves with the answer if the call is completed by it. */
	const sendAttempt = async (
		state: CallState,
		grant: HeldGrant,
		signal: AbortSignal,
	): Promise<domain.TargetAnswer | undefined> => {
		const startedAtMs = clock.monotonicMs();
		const timeoutMs = remainingMs(state);
		const {address, targetId} = grant.target;
		const targetRecord = registry.replicas.targets.stateOf(targetId);
		const earlierSendCount = state.usedAddresses.filter(usedAddress => usedAddress === address).length;
		const controller = new AbortController();
		const abort = (): void => {
			controller.abort(signal.reason);
		};

		signal.addEventListener('abort', abort, {once: true});
		const ended = new AbortController();
		const abortAtDeadline = async (): Promise<void> => {
			await clock.sleep(timeoutMs, ended.signal);
			if (!ended.signal.aborted) {
				abort();
			}
		};

		void abortAtDeadline();
		void replaceSlowAttempt(state, grant, {ended: ended.signal, stop: abort});
		metrics.increment(ports.CounterName.Attempts, {service: state.service});
		state.isAttempting = true;
		const result = await parts.targetClient.send(
			{
				call: state.call,
				target: grant.target,
				remainingMs: timeoutMs,
				connectionLimit: options.connectionsPerTarget,
				needsNewConnection: earlierSendCount > 0,
			},
			controller.signal,
		);
		const durationMs = clock.monotonicMs() - startedAtMs;
		ended.abort(STOP_REASON);
		state.isAttempting = false;
		signal.removeEventListener('abort', abort);

		const verdict = result.isOk() ? ANSWER_VERDICTS[result.value.meaning] : ERROR_VERDICTS[result.error.kind];
		const isBrokenByCaller = result.isErr() && (state.callerSignal.aborted || isBodyBroken(state.call));
		const grantResult = isBrokenByCaller ? ports.GrantResult.Cancelled : verdict.result;
		const {announcement} = result.isOk() ? result.value : result.error;
		grants.report(grant, grantResult, durationMs, announcement);
		if (verdict.isSent) {
			const answerBytes = result.isOk() ? measureAnswer(result.value.answer) : undefined;
			parts.recordBytes?.(grant, {requestBytes: measureBody(state.call) ?? 0, answerBytes});
		}

		logAttempt(state, grant, grantResult, {
			targetRecord,
			earlierSendCount,
			durationMs: Math.round(durationMs),
			timeoutMs: Math.round(timeoutMs),
			status: result.isOk() ? result.value.answer.status : undefined,
			detail: result.isErr() ? result.error.detail : undefined,
		});
		if (verdict.isSent) {
			state.usedAddresses.push(address);
		}

		state.sentCount += verdict.isSent ? 1 : 0;
		state.unreachableCount += verdict.isSent ? 0 : 1;
		state.mayHaveRun ||= verdict.mayHaveRun;
		state.lastReason = verdict.reason;
		state.excludedTargetIds.push(targetId);
		if (result.isErr()) {
			return undefined;
		}

		const {meaning} = result.value;
		if (!FORWARDABLE_MEANINGS.has(meaning)) {
			abort();
			return undefined;
		}

		const {callerSignal} = state;
		const answer = limitAnswerTime(result.value.answer, {
			clock,
			timeoutMs: remainingMs(state),
			callerSignal,
			stop: abort,
		});
		if (meaning === ports.AnswerMeaning.Completed) {
			return answer;
		}

		state.lastAnswer = answer;
		return undefined;
	};

	/** Builds the ending of a call that gets no further attempt. */
	const concludeCall = (
		state: CallState,
		reason: domain.RefusalReason,
		denial?: ports.GrantDenial,
	): domain.ProxyEnding => {
		if (state.lastAnswer) {
			return {outcome: domain.ProxyOutcome.Answered, answer: state.lastAnswer};
		}

		if (state.mayHaveRun) {
			return {outcome: domain.ProxyOutcome.Failed, reason: state.lastReason};
		}

		const times = {
			predictedWaitMs: denial?.predictedWaitMs ?? 0,
			roomAfterMs: denial?.roomAfterMs,
			remainingMs: remainingMs(state),
			isTooLate: reason === domain.RefusalReason.DeadlineTooShort,
		};
		return refuse(reason, computeReturnMs(times, parts.random.fraction(), options));
	};

	const canTryAgain = (state: CallState): boolean => {
		const isWithinLimits =
			state.sentCount < state.route.attemptLimit && state.unreachableCount < options.unreachableLimit;
		const mayBeSent = canSendBody(state.call) && (!state.mayHaveRun || mayRepeat(state));
		return isWithinLimits && mayBeSent && remainingMs(state) > 0;
	};

	const runAttempts = async (state: CallState, signal: AbortSignal): Promise<domain.ProxyEnding> => {
		while (canTryAgain(state)) {
			// The previous attempt was aborted in favour of this grant, so its replacement starts even if the stop plan allows no
			// new attempts by now.
			const replacement = state.replacementGrant;
			state.replacementGrant = undefined;
			if (!replacement && !mayStartNow(state)) {
				return concludeCall(state, domain.RefusalReason.Draining);
			}

			const grant = replacement ?? (await acquire(state, signal));
			if (signal.aborted) {
				if (grant.isGranted) {
					grants.report(grant, ports.GrantResult.Cancelled, 0);
				}

				break;
			}

			if (!grant.isGranted) {
				state.lastDenial = grant;
				return concludeCall(state, GRANT_REFUSAL_REASONS[grant.refusal], grant);
			}

			if (!replacement && !mayStartNow(state)) {
				grants.report(grant, ports.GrantResult.Cancelled, 0);
				return concludeCall(state, domain.RefusalReason.Draining);
			}

			if (state.sentCount > 0) {
				metrics.increment(ports.CounterName.Retries, {service: state.service, reason: state.lastReason});
			}

			const answer = await sendAttempt(state, grant, signal);
			if (answer) {
				return {outcome: domain.ProxyOutcome.Answered, answer};
			}

			if (signal.aborted) {
				break;
			}
		}

		return signal.aborted ? {outcome: domain.ProxyOutcome.Abandoned} : concludeCall(state, state.lastReason);
	};

	/** Ends the call at its deadline even if an attempt is still running. */
	const runWithinDeadline = async (state: CallState, signal: AbortSignal): Promise<domain.ProxyEnding> => {
		const timed = await runWithTimeout({clock, timeoutMs: remainingMs(state), signal}, async callSignal =>
			runAttempts(state, callSignal),
		);
		if (!timed.isTimedOut && timed.value.outcome !== domain.ProxyOutcome.Abandoned) {
			return timed.value;
		}

		if (signal.aborted) {
			return {outcome: domain.ProxyOutcome.Abandoned};
		}

		return state.isAttempting
			? {outcome: domain.ProxyOutcome.Failed, reason: domain.RefusalReason.DeadlineExceeded}
			: concludeCall(state, domain.RefusalReason.DeadlineExceeded);
	};

	const recordEnding = createEndingRecorder({registry, clock, logger, metrics});

	const handleCall = async (call: domain.ProxiedCall, signal: AbortSignal): Promise<domain.ProxyEnding> => {
		const resolution = admissions.resolveRoute(call);
		if (!resolution.isFound) {
			recordEnding(call, resolution.ending);
			return resolution.ending;
		}

		const {route, index} = resolution;
		const workspace = index.workspaces?.find(call.workspace ?? '');
		const priority = index.workspaces ? combinePriorities(workspace?.priority, route.priority) : route.priority;
		const state: CallState = {
			call,
			route,
			service: pickService(route.shares, parts.random.fraction()),
			priority: call.isSentAhead ? yieldPriority(priority) : priority,
			catalogueVersion: index.catalogue.version,
			callerSignal: signal,
			deadlineAtMs: computeDeadlineAtMs(call, route),
			excludedTargetIds: [],
			usedAddresses: [],
			isGrantRequested: false,
			sentCount: 0,
			unreachableCount: 0,
			mayHaveRun: false,
			isAttempting: false,
			lastReason: domain.RefusalReason.DeadlineTooShort,
		};
		const ending = await runWithinDeadline(state, signal);
		if (state.replacementGrant) {
			// The slow attempt ended before its replacement was sent, so the grant is returned.
			grants.report(state.replacementGrant, ports.GrantResult.Cancelled, 0);
		}

		recordEnding(call, ending, state);
		return ending;
	};

	return {
		async admit(head, signal) {
			const admission = await admissions.admit(head, signal);
			if (!admission.isAdmitted) {
				recordEnding({...head, workspace: admission.workspace, quotaUsage: admission.quotaUsage}, admission.ending);
			}

			return admission;
		},
		handle: handleCall,
	};
};

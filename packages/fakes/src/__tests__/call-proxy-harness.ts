import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';
import type {VirtualClock} from '../virtual-clock.js';

/** Scripted result of one attempt at a target. */
export type ScriptedStep = {
	readonly delayMs?: number;
	/** True if the attempt still ends with its result after it was cancelled, like an answer that is already in transit. */
	readonly shouldIgnoreCancellation?: boolean;
	readonly result: neverthrow.Result<core.AttemptAnswer, core.AttemptError>;
};

export const answerWith = (meaning: core.AnswerMeaning, status: number): ScriptedStep => ({
	delayMs: 100,
	result: neverthrow.ok({meaning, answer: {status, headers: [], body: new Uint8Array(0)}}),
});
export const failWith = (kind: core.AttemptErrorKind): ScriptedStep => ({
	result: neverthrow.err({kind, detail: 'scripted'}),
});
export const UNANSWERED: ScriptedStep = {
	delayMs: 60_000,
	result: neverthrow.err({kind: core.AttemptErrorKind.CancelledSent, detail: ''}),
};

const createScriptedClient = (clock: VirtualClock, steps: readonly ScriptedStep[]) => {
	const sent: core.FleetAttempt[] = [];
	const client: core.FleetTargetClient = {
		async send(attempt, signal) {
			const step = steps[sent.length] ?? answerWith(core.AnswerMeaning.Completed, 200);
			sent.push(attempt);
			await clock.sleep(step.delayMs ?? 0, signal);
			return signal.aborted && !step.shouldIgnoreCancellation
				? neverthrow.err({kind: core.AttemptErrorKind.CancelledSent, detail: 'cancelled'})
				: step.result;
		},
	};
	return {client, sent};
};

/** A retry budget that covers the retries of every call, including the first one. */
const DISPATCHER_OPTIONS = {retryRatio: 3};

export type CallProxyHarnessOptions = {
	readonly steps: readonly ScriptedStep[];
	readonly route?: Partial<domain.HostRoute>;
	/** Monotonic time at which the node's shutdown ends, in ms; undefined while it is not stopping. */
	readonly stopsAtMs?: number;
	readonly unreadableRoutes?: readonly domain.UnreadableRoute[];
	/** Address of each target; by default all share one. */
	readonly buildAddress?: (targetId: string) => string;
};

/** Builds a call proxy in front of four targets whose answers are scripted. */
export const createCallProxyHarness = ({
	steps,
	route = {},
	stopsAtMs,
	unreadableRoutes = [],
	buildAddress = () => '127.0.0.1:1',
}: CallProxyHarnessOptions) => {
	const peerClient: core.FleetPeerClient = {
		request: async () => neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'no peers'}),
	};
	const targets = ['a', 'b', 'c', 'd'].map(targetId => buildTarget({targetId, address: buildAddress(targetId)}));
	const {clock, logger, metrics, random, registry, grants} = buildGrantParts({
		targets,
		peerClient,
		dispatcher: DISPATCHER_OPTIONS,
	});
	const publish = (version: number): void => {
		const value = {...buildFleetCatalogue(version, [buildHostRoute(route)]), unreadableRoutes};
		const records = [{key: 'config', offset: version, value}];
		registry.apply({[core.RegistryTopic.Catalogue]: {records, nextOffset: version + 1, isWhole: false}});
	};

	const {client, sent} = createScriptedClient(clock, steps);
	const stopPlan = stopsAtMs === undefined ? undefined : core.planStop(clock.monotonicMs(), stopsAtMs);
	const proxy = core.createCallProxy({
		registry,
		grants,
		targetClient: client,
		clock,
		random,
		logger,
		metrics,
		readStopPlan: () => stopPlan,
	});
	const caller = new AbortController();
	const start = async (given: Partial<domain.ProxiedCall> = {}): Promise<domain.ProxyEnding> =>
		proxy.handle(
			{
				requestId: 'request',
				host: 'gateway.example',
				method: 'POST',
				pathAndQuery: '/clearances/17?ward=3',
				headers: [],
				body: undefined,
				bodyLengthBytes: undefined,
				deadlineMs: 4000,
				receivedAtMs: clock.monotonicMs(),
				...given,
			},
			caller.signal,
		);
	const call = async (given: Partial<domain.ProxiedCall> = {}): Promise<domain.ProxyEnding> =>
		clock.runUntilSettled(start(given), 10_000);
	/** Ids of the grants whose results were reported. */
	const reportedGrantIds = new Set<string>();
	const acquiredGrantIds = new Set<string>();
	const {acquire, report} = grants;
	grants.acquire = async (callRequest, signal) => {
		const reply = await acquire(callRequest, signal);
		if (reply.isGranted) {
			acquiredGrantIds.add(reply.grantId);
		}

		return reply;
	};

	grants.report = (grant, result, durationMs) => {
		reportedGrantIds.add(grant.grantId);
		report(grant, result, durationMs);
	};

	return {clock, caller, publish, start, call, sent, acquiredGrantIds, reportedGrantIds};
};

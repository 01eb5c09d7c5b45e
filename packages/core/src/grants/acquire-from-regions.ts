import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {Registry} from '../registry/registry.js';
import type {OwnVerdict} from '../zones/region-plan.js';
import type {RegionPlanner} from '../zones/region-planner.js';
import type {CallGrantRequest, GrantAnswer} from './held-grant.js';
import type {RegionQuery, RegionRequester} from './request-from-region.js';

export type RegionAcquirerParts = {
	readonly self: Pick<domain.RegisteredNode, 'region'>;
	readonly registry: Pick<Registry, 'regionsOf'>;
	readonly planner: RegionPlanner;
	readonly requestFromRegion: RegionRequester;
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly metrics: ports.Metrics;
};

/** Requests a grant for a call in its own region, in others where that pays, and then as a last resort. */
export type RegionAcquirer = (callRequest: CallGrantRequest, signal: AbortSignal) => Promise<GrantAnswer>;

/** Refusals of the own region that no wait there changes. */
const FINAL_REFUSALS: ReadonlySet<ports.GrantRefusal> = new Set([
	ports.GrantRefusal.NoBudget,
	ports.GrantRefusal.TooLate,
]);

/** Refusals that do not depend on the calls that wait in the region. */
const UNQUEUED_REFUSALS: ReadonlySet<ports.GrantRefusal> = new Set([
	ports.GrantRefusal.NoTarget,
	ports.GrantRefusal.NoBudget,
]);

type RegionDenial = {readonly region: string; readonly denial: ports.GrantDenial};

export const createRegionAcquirer = (parts: RegionAcquirerParts): RegionAcquirer => {
	const {self, registry, planner, requestFromRegion, clock, metrics} = parts;

	/** Shortest time until a region may serve the call: those that have refused it, and those that were not asked. */
	const predictWaitMs = (
		denials: readonly RegionDenial[],
		callRequest: CallGrantRequest,
		others: readonly string[],
	) => {
		const denied = new Set(denials.map(({region}) => region));
		const awayWaits = callRequest.isBulk
			? []
			: others
					.filter(region => !denied.has(region))
					.map(region => planner.predictAwayWaitMs(callRequest.service, region))
					.filter(waitMs => waitMs !== undefined);
		// A region without targets or budget predicts a short wait, because nothing waits there.
		const queued = denials.filter(({denial}) => !UNQUEUED_REFUSALS.has(denial.refusal));
		const waits = [...(queued.length > 0 ? queued : denials).map(({denial}) => denial.predictedWaitMs), ...awayWaits];
		return waits.length === 0 ? 0 : Math.min(...waits);
	};

	return async (callRequest, signal) => {
		const {service} = callRequest;
		const startedAtMs = clock.monotonicMs();
		const regions = registry.regionsOf(service);
		const others = planner.sortRegions(
			service,
			regions.filter(region => region !== self.region),
		);
		const denials: RegionDenial[] = [];
		/** The call with the time that it has left now, which the first request alone counts as new. */
		const readCall = (): CallGrantRequest => {
			const elapsedMs = clock.monotonicMs() - startedAtMs;
			return {
				...callRequest,
				isNewCall: callRequest.isNewCall && denials.length === 0,
				remainingMs: callRequest.remainingMs - elapsedMs,
				objectiveLeftMs: callRequest.objectiveLeftMs - elapsedMs,
			};
		};

		const ask = async (query: RegionQuery): Promise<GrantAnswer> => {
			const answer = await requestFromRegion(readCall(), query, signal);
			if (!answer.isGranted) {
				denials.push({region: query.region, denial: answer});
			}

			return answer;
		};

		/** What the own region said; undefined if it has no targets of the service. */
		let own: OwnVerdict | undefined;
		let ownLimitMs = 0;

		const askOwn = async (waitLimitMs: number): Promise<GrantAnswer | undefined> => {
			const answer = await ask({region: self.region, waitLimitMs, isLastResort: false});
			if (answer.isGranted) {
				return answer;
			}

			const waitedMs = clock.monotonicMs() - startedAtMs;
			own = {refusal: answer.refusal, waitMs: Math.max(answer.predictedWaitMs, waitedMs)};
			return undefined;
		};

		const askOwnFirst = async (): Promise<GrantAnswer | undefined> => {
			if (!regions.includes(self.region)) {
				return undefined;
			}

			ownLimitMs = planner.planOwnWaitMs(callRequest, others);
			return askOwn(ownLimitMs);
		};

		/** Asks the other regions that have not refused the call, as far as that pays. */
		const askOthers = async (): Promise<GrantAnswer | undefined> => {
			const denied = new Set(denials.map(({region}) => region));
			for (const region of others.filter(other => !denied.has(other))) {
				if (signal.aborted) {
					return undefined;
				}

				const decision = planner.decideAway(readCall(), region, own);
				if (!decision.isAsked) {
					metrics.increment(ports.CounterName.RegionStays, {reason: decision.reason});
					continue;
				}

				planner.recordRequest(service, region);
				const answer = await ask({region, waitLimitMs: decision.waitLimitMs, isLastResort: false});
				if (answer.isGranted) {
					return answer;
				}
			}

			return undefined;
		};

		/** The refusal of a call for which nothing more can be done. */
		const concludeEarly = (): GrantAnswer | undefined => {
			const first = denials[0]?.denial;
			if (first) {
				return signal.aborted || FINAL_REFUSALS.has(first.refusal) ? first : undefined;
			}

			const refusal = others.length === 0 ? ports.GrantRefusal.NoTarget : ports.GrantRefusal.Busy;
			return {isGranted: false, refusal, predictedWaitMs: predictWaitMs(denials, callRequest, others)};
		};

		/** Lets the call wait in its own region if its first wait was limited because others might have served it sooner. */
		const waitLonger = async (): Promise<GrantAnswer | undefined> => {
			const mayWait = own?.refusal === ports.GrantRefusal.Busy && others.length > 0 && !callRequest.isBulk;
			if (!mayWait || ownLimitMs >= planner.planLastWaitMs(callRequest)) {
				return undefined;
			}

			const answer = await askOwn(planner.planLastWaitMs(readCall()));
			if (answer) {
				return answer;
			}

			own = {refusal: ports.GrantRefusal.Busy, waitMs: Number.POSITIVE_INFINITY};
			return askOthers();
		};

		/** Asks for any target, also a gray one: in the own region, unless it has none at all. */
		const askLastResort = async (): Promise<GrantAnswer> => {
			const away = denials.find(
				({region, denial}) => region !== self.region && denial.refusal === ports.GrantRefusal.Busy,
			);
			const isOwnUsable = own !== undefined && own.refusal !== ports.GrantRefusal.NoTarget;
			const region = isOwnUsable ? self.region : (away?.region ?? denials[0]!.region);
			const last = await ask({region, waitLimitMs: 0, isLastResort: true});
			return last.isGranted ? last : {...last, predictedWaitMs: predictWaitMs(denials, callRequest, others)};
		};

		return (await askOwnFirst()) ?? (await askOthers()) ?? concludeEarly() ?? (await waitLonger()) ?? askLastResort();
	};
};

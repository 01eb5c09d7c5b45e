import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {UNLIMITED_QUOTAS, type WorkspaceQuotas} from '../quotas/workspace-quotas.js';
import type {Authentication} from '../workspaces/workspace-directory.js';
import type {CatalogueIndex} from './catalogue-index.js';
import {RouteMatchKind} from './host-routes.js';
import {computeRetryAfterMs, type RetryAfterOptions} from './retry-after.js';

/** Result of checks that need only a call's head. */
export type CallAdmission =
	| {
			readonly isAdmitted: true;
			/** Workspace of the caller's key. */
			readonly workspace?: string;
			/** Whether the catalogue asks for keys, so that the caller's key and workspace headers must not reach a target. */
			readonly isKeyed: boolean;
			/** Monotonic time after which the call cannot be served, in ms. Its body has to arrive before. */
			readonly deadlineAtMs: number;
	  }
	| {
			readonly isAdmitted: false;
			readonly ending: domain.RefusedEnding;
			/** Workspace of the caller's key, if its quota is the reason. */
			readonly workspace?: string;
			/** Use of the quota, for the log. */
			readonly quotaUsage?: Readonly<Record<string, number>>;
	  };

export type CallAdmissionParts = {
	readonly readIndex: () => CatalogueIndex | undefined;
	readonly random: ports.Random;
	readonly options: RetryAfterOptions;
	readonly quotas?: WorkspaceQuotas;
};

/** Monotonic time at which the caller or the operator no longer wants a call to be kept waiting, in ms. */
export const computeDeadlineAtMs = (
	{receivedAtMs, deadlineMs}: Pick<domain.CallHead, 'receivedAtMs' | 'deadlineMs'>,
	{timeoutMs}: domain.HostRoute,
): number => receivedAtMs + Math.min(deadlineMs ?? timeoutMs, timeoutMs);

/** A route of the catalogue in force, or why there is none. */
export type RouteResolution =
	| {readonly isFound: true; readonly index: CatalogueIndex; readonly route: domain.HostRoute}
	| {readonly isFound: false; readonly ending: domain.RefusedEnding};

/** Checks calls before their bodies are read. */
export type CallAdmissions = {
	/** Finds the route of a call. */
	resolveRoute(head: Pick<domain.CallHead, 'host' | 'pathAndQuery'>): RouteResolution;
	/** Finds the route, identifies the workspace and takes one call of its quota. */
	admit(head: domain.CallHead, signal: AbortSignal): Promise<CallAdmission>;
};

/** Shortest `Retry-After` of calls that are refused because this node has no catalogue yet. */
const NO_CATALOGUE_RETRY_MS = 500;

/** Shortest `Retry-After` of calls whose rule cannot be read: the operator has to write it again. */
const UNREADABLE_ROUTE_RETRY_MS = 1000;

export const refuse = (reason: domain.RefusalReason, retryAfterMs?: number): domain.RefusedEnding => ({
	outcome: domain.ProxyOutcome.Refused,
	reason,
	retryAfterMs,
});

/** Refusals of calls without a route. */
const UNROUTED_REFUSALS: Record<
	Exclude<RouteMatchKind, RouteMatchKind.Readable>,
	(retryAfterMs: number) => domain.RefusedEnding
> = {
	[RouteMatchKind.None]: () => refuse(domain.RefusalReason.UnknownRoute),
	[RouteMatchKind.Unreadable]: retryAfterMs => refuse(domain.RefusalReason.UnreadableRoute, retryAfterMs),
};

export const createCallAdmissions = (parts: CallAdmissionParts): CallAdmissions => {
	const {quotas = UNLIMITED_QUOTAS} = parts;
	const retryAfterMs = (predictedWaitMs: number): number =>
		computeRetryAfterMs(predictedWaitMs, parts.random.fraction(), parts.options);

	const resolveRoute: CallAdmissions['resolveRoute'] = ({host, pathAndQuery}) => {
		const index = parts.readIndex();
		if (!index) {
			return {isFound: false, ending: refuse(domain.RefusalReason.NoCatalogue, retryAfterMs(NO_CATALOGUE_RETRY_MS))};
		}

		const match = index.routes.find(host, pathAndQuery.split('?', 1)[0]!);
		return match.kind === RouteMatchKind.Readable
			? {isFound: true, index, route: match.route}
			: {isFound: false, ending: UNROUTED_REFUSALS[match.kind](retryAfterMs(UNREADABLE_ROUTE_RETRY_MS))};
	};

	const admitToQuota = async (
		{workspace}: Extract<Authentication, {isAccepted: true}>,
		deadlineAtMs: number,
		signal: AbortSignal,
	): Promise<CallAdmission> => {
		const decision = workspace ? await quotas.admit(workspace, signal) : {isAdmitted: true as const};
		return decision.isAdmitted
			? {isAdmitted: true, workspace: workspace?.name, isKeyed: true, deadlineAtMs}
			: {
					isAdmitted: false,
					ending: refuse(domain.RefusalReason.QuotaExceeded, decision.retryAfterMs),
					workspace: workspace?.name,
					quotaUsage: decision.usage,
				};
	};

	return {
		resolveRoute,
		async admit(head, signal) {
			const resolution = resolveRoute(head);
			if (!resolution.isFound) {
				return {isAdmitted: false, ending: resolution.ending};
			}

			const {index, route} = resolution;
			const deadlineAtMs = computeDeadlineAtMs(head, route);
			if (!index.workspaces) {
				return {isAdmitted: true, isKeyed: false, deadlineAtMs};
			}

			const authentication = index.workspaces.authenticate(head.readCredential(), route.isPublic ?? false);
			return authentication.isAccepted
				? admitToQuota(authentication, deadlineAtMs, signal)
				: {isAdmitted: false, ending: refuse(domain.RefusalReason.Unauthenticated)};
		},
	};
};

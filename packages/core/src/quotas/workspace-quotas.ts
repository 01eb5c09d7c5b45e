import type * as domain from '@bilberrydoor/domain';

/** Whether a workspace may make one more call now. */
export type QuotaDecision =
	| {readonly isAdmitted: true}
	| {
			readonly isAdmitted: false;
			/** Time until the workspace may make this call, in ms. */
			readonly retryAfterMs: number;
			/** The workspace's limits and its use at this node, for the log. */
			readonly usage?: Readonly<Record<string, number>>;
	  };

/** Limits the calls of each workspace across all nodes. */
export type WorkspaceQuotas = {
	/** Takes one call of the workspace's quota. */
	admit(workspace: domain.FleetWorkspace, signal: AbortSignal): Promise<QuotaDecision>;
};

/** Quotas that admit every call, for fleets without limits. */
export const UNLIMITED_QUOTAS: WorkspaceQuotas = {
	admit: async () => ({isAdmitted: true}),
};

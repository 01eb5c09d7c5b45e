import * as core from '@bilberrydoor/core';
import * as zod from 'zod';

const quotaSharesSchema = zod.object({partition: zod.int().nonnegative(), share: zod.int().nonnegative()});

/** Schemas of the messages between entry nodes and holders of quota shares. */
export const QUOTA_MESSAGE_SCHEMAS = {
	[core.FleetMessageKind.LeaseQuota]: {
		request: zod.object({
			workspace: zod.string(),
			nodeId: zod.string(),
			incarnationId: zod.string(),
			sequence: zod.int().nonnegative(),
			wantedCount: zod.int().nonnegative(),
			isImmediate: zod.boolean(),
			unusedCount: zod.int().nonnegative(),
			returnedCount: zod.int().nonnegative(),
		}),
		reply: zod.object({
			grantedCount: zod.int().nonnegative(),
			isRenewed: zod.boolean(),
			leaseMs: zod.number().nonnegative(),
			nextTokenMs: zod.number().nonnegative(),
		}),
	},
	[core.FleetMessageKind.ClaimQuotaShares]: {
		request: zod.object({nodeId: zod.string(), shares: zod.array(quotaSharesSchema)}),
		reply: zod.object({released: zod.array(quotaSharesSchema.extend({idleMs: zod.number().nonnegative()}))}),
	},
} as const;

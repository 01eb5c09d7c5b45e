import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {createTokenBuckets, type BucketRate} from './token-buckets.js';

/** Rate limits of one group. Each is the limit of the service scaled by the group's share of the slots. */
export type RateLimits = {
	/** Number of buckets in memory. */
	readonly bucketCount: () => number;
	/** Takes a call's tokens. Returns 0, or the time after which the caller may try again, in ms. */
	take(workspace: string, route: domain.RouteEntry): number;
	replaceGroup(group: TargetGroup, entry: domain.CatalogueEntry): void;
};

const MS_PER_SECOND = 1000;

/** Limits of a workspace in an entry. */
export const findWorkspaceLimit = (entry: domain.CatalogueEntry, workspace: string): domain.WorkspaceLimit =>
	Object.hasOwn(entry.workspaceLimits, workspace) ? entry.workspaceLimits[workspace]! : entry.defaultWorkspaceLimit;

const scaleRate = (rate: BucketRate, ratio: number): BucketRate => ({
	ratePerSecond: rate.ratePerSecond * ratio,
	burstCount: Math.max(1, rate.burstCount * ratio),
});

export const createRateLimits = (dependencies: {
	clock: ports.Clock;
	group: TargetGroup;
	entry: domain.CatalogueEntry;
}): RateLimits => {
	let {group, entry} = dependencies;
	const workspaceBuckets = createTokenBuckets(dependencies);
	const routeBuckets = createTokenBuckets(dependencies);

	const setRetention = (): void => {
		const limits = [entry.defaultWorkspaceLimit, ...Object.values(entry.workspaceLimits)];
		const fillTimesMs = limits.map(limit => (limit.burstCount / limit.ratePerSecond) * MS_PER_SECOND);
		workspaceBuckets.setRetention(Math.max(...fillTimesMs));
	};

	setRetention();
	return {
		take(workspace, route) {
			const {slotRatio} = group;
			const waitMs = workspaceBuckets.take(workspace, scaleRate(findWorkspaceLimit(entry, workspace), slotRatio));
			if (waitMs > 0 || route.rateLimitPerSecond === undefined) {
				return waitMs;
			}

			const ratePerSecond = route.rateLimitPerSecond;
			return routeBuckets.take(route.pathPrefix, scaleRate({ratePerSecond, burstCount: ratePerSecond}, slotRatio));
		},
		replaceGroup(newGroup, newEntry) {
			group = newGroup;
			entry = newEntry;
			setRetention();
		},
		bucketCount: () => workspaceBuckets.size() + routeBuckets.size(),
	};
};

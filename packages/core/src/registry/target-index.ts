import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {groupBy} from '../shared/group-by.js';
import type {Replica} from './replica.js';

/** Id of the group that holds the targets of a service in a region. */
export const buildGroupId = (service: string, region: string): string => `${service}@${region}`;

/** Age at which the target index is rebuilt, since after a store outage targets expire without a new record. */
const INDEX_AGE_LIMIT_MS = 250;

/** Targets in force, by the ways in which they are looked up. */
export type TargetIndex = {
	readonly builtAtMs: number;
	readonly revision: number;
	readonly byId: ReadonlyMap<string, domain.RegisteredTarget>;
	readonly byGroup: ReadonlyMap<string, readonly domain.RegisteredTarget[]>;
	readonly slotCountByGroup: ReadonlyMap<string, number>;
	readonly regionsByService: ReadonlyMap<string, readonly string[]>;
};

export const createTargetIndex = (
	replica: Replica<ports.RegistryTopic.Targets>,
	clock: ports.Clock,
): (() => TargetIndex) => {
	let index: TargetIndex | undefined;
	return () => {
		const nowMs = clock.monotonicMs();
		if (index?.revision === replica.revision() && nowMs - index.builtAtMs < INDEX_AGE_LIMIT_MS) {
			return index;
		}

		const byId = replica.values();
		const byGroup = groupBy(byId.values(), ({service, region}) => buildGroupId(service, region));
		const slotCountByGroup = new Map(
			[...byGroup].map(([groupId, targets]) => [groupId, targets.reduce((sum, {slotCount}) => sum + slotCount, 0)]),
		);
		const oneTargetPerGroup = [...byGroup.values()].map(([target]) => target!);
		const regionsByService = new Map(
			[...groupBy(oneTargetPerGroup, ({service}) => service)].map(([service, targets]) => [
				service,
				targets.map(({region}) => region),
			]),
		);
		index = {builtAtMs: nowMs, revision: replica.revision(), byId, byGroup, slotCountByGroup, regionsByService};
		return index;
	};
};

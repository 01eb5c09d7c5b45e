import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type * as ports from '../ports/index.js';
import * as targetGroups from '../routing/target-groups.js';
import type {SchedulerOptions} from './scheduler-options.js';
import {createGroupScheduler, type GroupScheduler} from './group-scheduler.js';

/** The groups of all services, and the schedulers that this node has opened for some of them. */
export type SchedulerRegistry = {
	/** Groups of a service; empty when the service is unknown. */
	listGroups(service: string): readonly targetGroups.TargetGroup[];
	/** Scheduler of a group, opened cold on first use. Absent when the group is unknown. */
	openScheduler(service: string, groupId: string): GroupScheduler | undefined;
	listSchedulers(): readonly GroupScheduler[];
	/** Runs the background tasks of all opened schedulers until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

type OpenScheduler = {
	readonly scheduler: GroupScheduler;
	readonly controller: AbortController;
};

export const createSchedulerRegistry = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	options?: Partial<SchedulerOptions>;
}): SchedulerRegistry => {
	const groupsByService = new Map<string, readonly targetGroups.TargetGroup[]>();
	const openSchedulers = new Map<string, OpenScheduler>();

	const closeScheduler = (groupId: string): void => {
		openSchedulers.get(groupId)?.controller.abort();
		openSchedulers.delete(groupId);
	};

	const replaceService = (service: string, entry: domain.CatalogueEntry | undefined): void => {
		const before = groupsByService.get(service) ?? [];
		const after = entry ? targetGroups.buildTargetGroups(entry) : [];
		groupsByService.set(service, after);
		before
			.filter(group => !after.some(other => other.groupId === group.groupId))
			.forEach(group => {
				closeScheduler(group.groupId);
			});
		after.forEach(group => {
			openSchedulers.get(group.groupId)?.scheduler.replaceGroup(group, entry!);
		});
	};

	dependencies.store.subscribe(replaceService);

	return {
		listGroups: service => groupsByService.get(service) ?? [],
		openScheduler(service, groupId) {
			const existing = openSchedulers.get(groupId);
			if (existing) {
				return existing.scheduler;
			}

			const group = groupsByService.get(service)?.find(candidate => candidate.groupId === groupId);
			const entry = dependencies.store.findItem(service)?.entry;
			if (!group || !entry) {
				return undefined;
			}

			const controller = new AbortController();
			const scheduler = createGroupScheduler({ports: dependencies.ports, group, entry, options: dependencies.options});
			openSchedulers.set(groupId, {scheduler, controller});
			void scheduler.run(controller.signal);
			return scheduler;
		},
		listSchedulers: () => [...openSchedulers.values()].map(({scheduler}) => scheduler),
		async run(signal) {
			await new Promise(resolve => {
				signal.addEventListener('abort', resolve, {once: true});
			});
			[...openSchedulers.keys()].forEach(closeScheduler);
		},
	};
};

import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {HealthOptions} from '../health/health-options.js';
import {LeavingSign} from '../health/leaving-sign.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import type * as ports from '../ports/index.js';
import * as targetGroups from '../routing/target-groups.js';
import type {SchedulerOptions} from './scheduler-options.js';
import {createGroupScheduler, type GroupScheduler} from './group-scheduler.js';
import {watchLeavingAnswers} from './watch-leaving-answers.js';

/** Target groups of all services, and the schedulers of the groups that this node schedules. */
export type SchedulerRegistry = {
	/** Groups of a service; empty when the service is unknown. */
	listGroups(service: string): readonly targetGroups.TargetGroup[];
	/**
	 * Returns the scheduler of a group; undefined when the group is unknown. It is created on first use, without the state
	 * of the group's previous scheduling node.
	 */
	getOrCreateScheduler(service: string, groupId: string): GroupScheduler | undefined;
	listSchedulers(): readonly GroupScheduler[];
	/**
	 * Stops new work on a leaving target if its group is scheduled here. Keeps the information for a limited time in case
	 * the group's scheduler is opened here later.
	 */
	markTargetLeaving(service: string, targetId: string, sign: LeavingSign): void;
	/** Registers a listener for leaving targets that this node has detected from answers or health endpoints. */
	subscribeToLeaving(listener: (service: string, targetId: string) => void): void;
	/** Runs the background tasks of all opened schedulers until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

type OpenScheduler = {
	readonly scheduler: GroupScheduler;
	readonly controller: AbortController;
};

type LeavingMark = {readonly service: string; readonly targetId: string; readonly markedAtMs: number};

/** Time for which a leaving target is kept for a group that may be scheduled here later, in ms. */
const LEAVING_MARK_RETENTION_MS = 10_000;

export const createSchedulerRegistry = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	options?: Partial<SchedulerOptions>;
	directory?: MemberDirectory;
	health?: Partial<HealthOptions>;
}): SchedulerRegistry => {
	const {directory} = dependencies;
	const {clock, targetClient} = dependencies.ports;
	const groupsByService = new Map<string, readonly targetGroups.TargetGroup[]>();
	const openSchedulers = new Map<string, OpenScheduler>();
	const leavingListeners: Array<(service: string, targetId: string) => void> = [];
	let leavingMarks: LeavingMark[] = [];

	const closeScheduler = (groupId: string): void => {
		openSchedulers.get(groupId)?.controller.abort();
		openSchedulers.delete(groupId);
	};

	const replaceService = (service: string, entry: domain.CatalogueEntry | undefined): void => {
		const previousGroups = groupsByService.get(service) ?? [];
		const newGroups = entry ? targetGroups.buildTargetGroups(entry) : [];
		groupsByService.set(service, newGroups);
		previousGroups
			.filter(group => !newGroups.some(other => other.groupId === group.groupId))
			.forEach(group => {
				closeScheduler(group.groupId);
			});
		newGroups.forEach(group => {
			openSchedulers.get(group.groupId)?.scheduler.replaceGroup(group, entry!);
		});
	};

	dependencies.store.subscribe(replaceService);

	const createScheduler = (group: targetGroups.TargetGroup, entry: domain.CatalogueEntry): GroupScheduler => {
		const notifyLeavingListeners = (targetId: string): void => {
			leavingListeners.forEach(listener => {
				listener(group.service, targetId);
			});
		};

		const scheduler: GroupScheduler = createGroupScheduler({
			ports: {
				...dependencies.ports,
				targetClient: watchLeavingAnswers(targetClient, ({targetId}) => {
					scheduler.markTargetLeaving(targetId, LeavingSign.AnswerHeader);
					notifyLeavingListeners(targetId);
				}),
			},
			group,
			entry,
			options: dependencies.options,
			health: {directory, onLeavingSeen: notifyLeavingListeners, options: dependencies.health},
		});
		const validFromMs = clock.monotonicMs() - LEAVING_MARK_RETENTION_MS;
		leavingMarks
			.filter(mark => mark.service === group.service && mark.markedAtMs >= validFromMs)
			.forEach(mark => {
				scheduler.markTargetLeaving(mark.targetId, LeavingSign.PeerReport);
			});
		return scheduler;
	};

	return {
		listGroups: service => groupsByService.get(service) ?? [],
		getOrCreateScheduler(service, groupId) {
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
			const scheduler = createScheduler(group, entry);
			openSchedulers.set(groupId, {scheduler, controller});
			void scheduler.run(controller.signal);
			return scheduler;
		},
		listSchedulers: () => [...openSchedulers.values()].map(({scheduler}) => scheduler),
		markTargetLeaving(service, targetId, sign) {
			const markedAtMs = clock.monotonicMs();
			leavingMarks = [
				...leavingMarks.filter(
					mark => mark.markedAtMs >= markedAtMs - LEAVING_MARK_RETENTION_MS && mark.targetId !== targetId,
				),
				{service, targetId, markedAtMs},
			];
			groupsByService
				.get(service)
				?.filter(group => group.targets.some(target => target.targetId === targetId))
				.forEach(group => {
					openSchedulers.get(group.groupId)?.scheduler.markTargetLeaving(targetId, sign);
				});
		},
		subscribeToLeaving(listener) {
			leavingListeners.push(listener);
		},
		async run(signal) {
			await new Promise(resolve => {
				signal.addEventListener('abort', resolve, {once: true});
			});
			[...openSchedulers.keys()].forEach(closeScheduler);
		},
	};
};

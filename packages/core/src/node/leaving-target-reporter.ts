import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';

/** Reports leaving targets to the scheduling nodes of their groups. */
export type LeavingTargetReporter = {
	/** Runs until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

type LeavingTarget = {readonly service: string; readonly targetId: string};

/**
 * Pause between checks of the VM list's leaving signs, in ms. Together with the period of the list it stays within the 2 s after
 * which a leaving target must get no new work.
 */
const CHECK_PERIOD_MS = 500;
/** Time until a lasting leaving sign is reported again, in ms. Below `leavingHoldMs`, so the target stays drained. */
const REPORT_REPEAT_MS = 4000;
/** Time after which an accepted edit is in force on all nodes, in ms. */
const EDIT_PROPAGATION_MS = 5000;
const REPORT_TIMEOUT_MS = 500;
const REPORT_ATTEMPT_LIMIT_COUNT = 3;

/**
 * Every node reads the leaving signs in the VM list and in catalogue entries, so only the nodes that lead the group's
 * ranking report them: at 4,100 nodes, a report by each would overload the scheduling node. A sign in an answer or a
 * health endpoint is received by one node only, which reports it unless it is the scheduling node itself.
 */
export const createLeavingTargetReporter = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	directory: MemberDirectory;
	delivery: Pick<GroupDelivery, 'rankNodes'>;
	schedulers: SchedulerRegistry;
}): LeavingTargetReporter => {
	const {store, directory, delivery, schedulers} = dependencies;
	const {clock, peerClient, logger} = dependencies.ports;
	const targetsByAddress = new Map<string, LeavingTarget>();
	const addressesByService = new Map<string, readonly string[]>();
	const drainingSinceMsByService = new Map<string, ReadonlyMap<string, number>>();
	const reportedAtMs = new Map<string, number>();
	let {signal} = new AbortController();

	const findGroup = ({service, targetId}: LeavingTarget): TargetGroup | undefined =>
		schedulers.listGroups(service).find(group => group.targets.some(target => target.targetId === targetId));

	const sendReport = async (leaving: LeavingTarget, address: string): Promise<void> => {
		for (let count = 0; count < REPORT_ATTEMPT_LIMIT_COUNT && !signal.aborted; count++) {
			const sent = await runWithTimeout({clock, timeoutMs: REPORT_TIMEOUT_MS, signal}, async requestSignal =>
				peerClient.request(address, ports.PeerMessageKind.ReportLeavingTarget, leaving, requestSignal),
			);
			if (!sent.isTimedOut && sent.value.isOk()) {
				return;
			}
		}

		logger.warn('report of a leaving target failed', {...leaving, address});
	};

	const reportUnlessRecent = (leaving: LeavingTarget, ranked: readonly domain.NodeDescription[]): void => {
		const key = `${leaving.service}/${leaving.targetId}`;
		const nowMs = clock.monotonicMs();
		const [schedulingNode] = ranked;
		const isRecent = nowMs - (reportedAtMs.get(key) ?? -Infinity) < REPORT_REPEAT_MS;
		if (schedulingNode && schedulingNode.address !== directory.self.address && !isRecent) {
			reportedAtMs.set(key, nowMs);
			void sendReport(leaving, schedulingNode.address);
		}
	};

	const reportIfRanked = (leaving: LeavingTarget): void => {
		const group = findGroup(leaving);
		const ranked = group ? delivery.rankNodes(group) : [];
		if (ranked.some(node => node.address === directory.self.address)) {
			reportUnlessRecent(leaving, ranked);
		}
	};

	const removeOldReports = (): void => {
		const oldestMs = clock.monotonicMs() - REPORT_REPEAT_MS;
		[...reportedAtMs]
			.filter(([, atMs]) => atMs < oldestMs)
			.forEach(([key]) => {
				reportedAtMs.delete(key);
			});
	};

	/** Targets drained by an edit so recently that the scheduling node may not have applied it yet. */
	const listNewlyDraining = (): LeavingTarget[] => {
		const oldestMs = clock.monotonicMs() - EDIT_PROPAGATION_MS;
		return [...drainingSinceMsByService].flatMap(([service, sinceMs]) =>
			[...sinceMs].filter(([, atMs]) => atMs >= oldestMs).map(([targetId]) => ({service, targetId})),
		);
	};

	store.subscribe((service, entry) => {
		addressesByService.get(service)?.forEach(address => targetsByAddress.delete(address));
		const targets = entry?.targets ?? [];
		addressesByService.set(
			service,
			targets.map(target => target.address),
		);
		targets.forEach(({address, targetId}) => {
			targetsByAddress.set(address, {service, targetId});
		});
		const previousSinceMs = drainingSinceMsByService.get(service);
		const nowMs = clock.monotonicMs();
		const draining = targets.filter(target => target.isDraining).map(({targetId}) => targetId);
		drainingSinceMsByService.set(
			service,
			new Map(draining.map(targetId => [targetId, previousSinceMs?.get(targetId) ?? nowMs])),
		);
	});
	schedulers.subscribeToLeaving((service, targetId) => {
		const group = findGroup({service, targetId});
		reportUnlessRecent({service, targetId}, group ? delivery.rankNodes(group) : []);
	});

	return {
		async run(runSignal) {
			signal = runSignal;
			while (!signal.aborted) {
				await clock.sleep(CHECK_PERIOD_MS, signal);
				removeOldReports();
				directory
					.listLeavingTargetAddresses()
					.flatMap(address => targetsByAddress.get(address) ?? [])
					.forEach(reportIfRanked);
				listNewlyDraining().forEach(reportIfRanked);
			}
		},
	};
};

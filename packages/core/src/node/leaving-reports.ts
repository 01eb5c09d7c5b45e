import type * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';

/** Tells groups' scheduling nodes which targets leave. */
export type LeavingReports = {
	/** Runs until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

type LeavingTarget = {readonly service: string; readonly targetId: string};

/** Pause between looks at the VM list's signs, in ms. With the list's period it stays within the bound of 2 s. */
const LOOK_PERIOD_MS = 500;
/** A sign that lasts is reported again after this time, so that the target stays drained; below the hold time. */
const REPEAT_MS = 4000;
/** An accepted edit is in force everywhere after this time, in ms. */
const NEW_ENTRY_MS = 5000;
const REQUEST_TIMEOUT_MS = 500;
const REQUEST_LIMIT_COUNT = 3;

/**
 * Creates the reports. A sign in the VM list or the entry reaches every node by itself, so only the nodes that lead the
 * group's ranking report it: at 4,100 nodes a report by each would flood the scheduling node. A sign in an answer or a
 * health endpoint is seen by one node only, and that node reports it unless it is the scheduling node itself.
 */
export const createLeavingReports = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	directory: MemberDirectory;
	delivery: Pick<GroupDelivery, 'rankNodes'>;
	schedulers: SchedulerRegistry;
}): LeavingReports => {
	const {store, directory, delivery, schedulers} = dependencies;
	const {clock, peerClient, logger} = dependencies.ports;
	const targetsByAddress = new Map<string, LeavingTarget>();
	const addressesByService = new Map<string, readonly string[]>();
	const drainingByService = new Map<string, ReadonlyMap<string, number>>();
	const reportedAtMs = new Map<string, number>();
	let {signal} = new AbortController();

	const findGroup = ({service, targetId}: LeavingTarget): TargetGroup | undefined =>
		schedulers.listGroups(service).find(group => group.targets.some(target => target.targetId === targetId));

	const sendReport = async (leaving: LeavingTarget, address: string): Promise<void> => {
		for (let count = 0; count < REQUEST_LIMIT_COUNT && !signal.aborted; count++) {
			const sent = await runWithTimeout({clock, timeoutMs: REQUEST_TIMEOUT_MS, signal}, async requestSignal =>
				peerClient.request(address, ports.PeerMessageKind.ReportLeavingTarget, leaving, requestSignal),
			);
			if (!sent.isTimedOut && sent.value.isOk()) {
				return;
			}
		}

		logger.warn('report of a leaving target failed', {...leaving, address});
	};

	const report = (leaving: LeavingTarget, ranked: readonly domain.NodeDescription[]): void => {
		const key = `${leaving.service}/${leaving.targetId}`;
		const nowMs = clock.monotonicMs();
		const [schedulingNode] = ranked;
		const isRecent = nowMs - (reportedAtMs.get(key) ?? -Infinity) < REPEAT_MS;
		if (schedulingNode && schedulingNode.address !== directory.self.address && !isRecent) {
			reportedAtMs.set(key, nowMs);
			void sendReport(leaving, schedulingNode.address);
		}
	};

	const reportWhenRanked = (leaving: LeavingTarget): void => {
		const group = findGroup(leaving);
		const ranked = group ? delivery.rankNodes(group) : [];
		if (ranked.some(node => node.address === directory.self.address)) {
			report(leaving, ranked);
		}
	};

	const forgetOldReports = (): void => {
		const oldestMs = clock.monotonicMs() - REPEAT_MS;
		[...reportedAtMs]
			.filter(([, atMs]) => atMs < oldestMs)
			.forEach(([key]) => {
				reportedAtMs.delete(key);
			});
	};

	/** Targets that an edit has drained so lately that the scheduling node may not have applied it. */
	const listNewlyDraining = (): LeavingTarget[] => {
		const oldestMs = clock.monotonicMs() - NEW_ENTRY_MS;
		return [...drainingByService].flatMap(([service, sinceMs]) =>
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
		const before = drainingByService.get(service);
		const nowMs = clock.monotonicMs();
		const draining = targets.filter(target => target.isDraining).map(({targetId}) => targetId);
		drainingByService.set(service, new Map(draining.map(targetId => [targetId, before?.get(targetId) ?? nowMs])));
	});
	schedulers.subscribeToLeaving((service, targetId) => {
		const group = findGroup({service, targetId});
		report({service, targetId}, group ? delivery.rankNodes(group) : []);
	});

	return {
		async run(runSignal) {
			signal = runSignal;
			while (!signal.aborted) {
				await clock.sleep(LOOK_PERIOD_MS, signal);
				forgetOldReports();
				directory
					.listLeavingTargetAddresses()
					.flatMap(address => targetsByAddress.get(address) ?? [])
					.forEach(reportWhenRanked);
				listNewlyDraining().forEach(reportWhenRanked);
			}
		},
	};
};

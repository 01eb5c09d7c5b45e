import * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import type {AdmittedCall} from './admitted-call.js';
import type {GroupDelivery} from './group-delivery.js';

/** Offers repeatable calls to the groups of their service. */
export type GroupOffers = {
	deliver(admitted: AdmittedCall, signal: AbortSignal): Promise<domain.CallEnding>;
};

/** Refusals after which another group may have capacity for the call. */
const RETRYABLE_REFUSAL_REASONS: ReadonlySet<domain.RefusalReason> = new Set([
	domain.RefusalReason.QueueFull,
	domain.RefusalReason.DeadlineTooShort,
	domain.RefusalReason.NoTarget,
]);

/**
 * Time for which a group that has refused a second offer receives no other second offers, in ms. When all groups are
 * saturated, further offers would only load the region link.
 */
const OFFER_PAUSE_MS = 100;

/**
 * Chooses a group in proportion to slots, from the groups in `region` if there are any.
 *
 * @param fraction random number from 0 to 1 that determines the choice
 */
export const chooseGroup = (
	groups: readonly TargetGroup[],
	region: string,
	fraction: number,
): TargetGroup | undefined => {
	const localGroups = groups.filter(group => group.region === region);
	const candidates = localGroups.length > 0 ? localGroups : groups;
	const slotCount = candidates.reduce((sum, group) => sum + group.slotCount, 0);
	let remaining = fraction * slotCount;
	return (
		candidates.find(group => {
			remaining -= group.slotCount;
			return remaining < 0;
		}) ?? candidates.at(-1)
	);
};

export const createGroupOffers = (dependencies: {
	ports: Pick<ports.NodePorts, 'clock' | 'metrics' | 'random'>;
	directory: MemberDirectory;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
}): GroupOffers => {
	const {directory, schedulers, delivery} = dependencies;
	const {clock, metrics, random} = dependencies.ports;
	const pausedUntilMs = new Map<string, number>();

	const isTemporarilyRefused = (ending: domain.CallEnding): boolean =>
		ending.outcome === domain.Outcome.NotRun && RETRYABLE_REFUSAL_REASONS.has(ending.reason);

	/** Finds a second group for a refused call. A call that has crossed the region link does not cross it again. */
	const chooseOtherGroup = (groups: readonly TargetGroup[], refused: TargetGroup): TargetGroup | undefined => {
		const nowMs = clock.monotonicMs();
		const isRemote = refused.region !== directory.self.region;
		const others = groups.filter(
			group => group !== refused && !isRemote && (pausedUntilMs.get(group.groupId) ?? 0) <= nowMs,
		);
		return chooseGroup(others, directory.self.region, random.fraction());
	};

	const offerAgain = async (
		admitted: AdmittedCall,
		other: TargetGroup,
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		metrics.increment(ports.CounterName.Retries, {
			service: admitted.service,
			reason: domain.RetryReason.GroupRefused,
		});
		const ending = await delivery.deliver(other, admitted, signal);
		if (isTemporarilyRefused(ending)) {
			pausedUntilMs.set(other.groupId, clock.monotonicMs() + OFFER_PAUSE_MS);
		} else {
			pausedUntilMs.delete(other.groupId);
		}

		return ending;
	};

	return {
		async deliver(admitted, signal) {
			const groups = schedulers.listGroups(admitted.service);
			const group = chooseGroup(groups, directory.self.region, random.fraction());
			if (!group) {
				return domain.notRun(domain.RefusalReason.NoTarget, `service ${admitted.service} has no targets in its entry`);
			}

			const ending = await delivery.deliver(group, admitted, signal);
			const other =
				isTemporarilyRefused(ending) && admitted.isBodyUnread() && !signal.aborted
					? chooseOtherGroup(groups, group)
					: undefined;
			return other ? offerAgain(admitted, other, signal) : ending;
		},
	};
};

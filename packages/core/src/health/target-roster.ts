import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {TargetGroup} from '../routing/target-groups.js';
import type {HealthOptions} from './health-options.js';
import * as targetRecords from './target-record.js';
import {COUNTS_AS_HEALTHY, HealthEvent, TARGET_TRANSITIONS} from './target-transitions.js';

/** The targets of one group with their states. All state changes go through it, so it enforces the floor. */
export type TargetRoster = {
	list(): readonly targetRecords.TargetRecord[];
	find(targetId: string): targetRecords.TargetRecord | undefined;
	/** Number of slots of healthy and suspect targets. */
	healthySlotCount(): number;
	/** Applies an event other than an ejection. Returns false when the state has no transition for it. */
	apply(
		record: targetRecords.TargetRecord,
		event: Exclude<HealthEvent, HealthEvent.EjectionDecided>,
		reason: string,
	): boolean;
	/**
	 * Checks the floor and ejects the target in one synchronous step, so that no other ejection can happen in between.
	 * Returns false when healthy capacity would fall below the floor.
	 */
	ejectWithinFloor(record: targetRecords.TargetRecord): boolean;
	/** Applies a changed entry. New targets start cold. */
	replaceGroup(group: TargetGroup): void;
};

type Dependencies = {
	readonly clock: ports.Clock;
	readonly metrics: ports.Metrics;
	readonly group: TargetGroup;
	readonly options: HealthOptions;
	/** Called after each change of a state or of the group. */
	readonly onChange: () => void;
};

/** Share of a cold target's slots that is open at first, 0 to 1. */
const COLD_START_RATIO = 0.25;
const sumHealthySlots = (records: readonly targetRecords.TargetRecord[]): number =>
	records.filter(record => COUNTS_AS_HEALTHY[record.state]).reduce((sum, record) => sum + record.target.slotCount, 0);

/** Updates a record when it enters a state. */
type EnterHandler = (record: targetRecords.TargetRecord, nowMs: number, from: domain.TargetState) => void;

const createEnterHandlers = (
	options: HealthOptions,
	listRecords: () => Iterable<targetRecords.TargetRecord>,
): Readonly<Record<domain.TargetState, EnterHandler>> => ({
	[domain.TargetState.Healthy](record, nowMs, from) {
		record.sequentialTest.reset(0);
		if (from === domain.TargetState.Probation) {
			record.ramp = {startedAtMs: nowMs, startRatio: 0, durationMs: options.returnRampMs};
		}
	},
	[domain.TargetState.Suspect](record, _nowMs, from) {
		const isReturn = from !== domain.TargetState.Healthy;
		if (isReturn) {
			record.sequentialTest.reset(options.suspectEvidence);
		}

		const others = [...listRecords()].filter(other => other !== record);
		record.otherCountsAtSuspicion = {
			goodCount: others.reduce((sum, other) => sum + other.counts.goodCount, 0),
			badCount: others.reduce((sum, other) => sum + other.counts.badCount, 0),
		};
	},
	[domain.TargetState.Ejected](record, nowMs) {
		targetRecords.recordEjection(record, nowMs, options);
	},
	[domain.TargetState.Probation](record, nowMs) {
		record.sequentialTest.reset(options.probationEvidence);
		record.badRatio = 0;
		record.lastResultAtMs = nowMs;
	},
	[domain.TargetState.Draining](record, nowMs) {
		record.lastLeavingSignAtMs = nowMs;
	},
	[domain.TargetState.Cold](record, nowMs) {
		record.sequentialTest.reset(0);
		record.badRatio = 0;
		record.ramp = {startedAtMs: nowMs, startRatio: COLD_START_RATIO, durationMs: options.coldRampMs};
	},
});

/**
 * Creates the records of a new scheduling node. All targets start healthy and not cold, because the adaptive limits of
 * the new scheduler already open their slots gradually.
 */
const createStartRecords = ({group, clock, options}: Dependencies): Map<string, targetRecords.TargetRecord> => {
	const nowMs = clock.monotonicMs();
	return new Map(
		group.targets.map(target => [target.targetId, targetRecords.createTargetRecord(target, nowMs, options)]),
	);
};

export const createTargetRoster = (dependencies: Dependencies): TargetRoster => {
	const {clock, metrics, options} = dependencies;
	let {group} = dependencies;
	let records = createStartRecords(dependencies);
	let allRecords = [...records.values()];
	const enterHandlers = createEnterHandlers(options, () => allRecords);
	const healthySlotCount = (): number => sumHealthySlots(allRecords);

	const transition = (record: targetRecords.TargetRecord, event: HealthEvent, reason: string): boolean => {
		const from = record.state;
		const next = TARGET_TRANSITIONS[from][event];
		if (!next) {
			return false;
		}

		const nowMs = clock.monotonicMs();
		record.state = next;
		record.reason = reason;
		record.sinceMs = nowMs;
		enterHandlers[next](record, nowMs, from);
		return true;
	};

	/** Makes targets available again, least unhealthy first, while healthy capacity is below the floor. */
	const restoreFloor = (): void => {
		const candidates = allRecords
			.filter(record => TARGET_TRANSITIONS[record.state][HealthEvent.CapacityNeeded] !== undefined)
			.toSorted((left, right) => left.severity - right.severity);
		candidates.forEach(record => {
			if (healthySlotCount() < group.floorSlotCount) {
				transition(record, HealthEvent.CapacityNeeded, 'returned for the floor');
			}
		});
	};

	const handleChange = (): void => {
		restoreFloor();
		metrics.set(ports.GaugeName.HealthySlots, {group: group.groupId}, healthySlotCount());
		metrics.set(ports.GaugeName.FloorSlots, {group: group.groupId}, group.floorSlotCount);
		dependencies.onChange();
	};

	handleChange();
	return {
		list: () => allRecords,
		find: targetId => records.get(targetId),
		healthySlotCount,
		apply(record, event, reason) {
			const isApplied = transition(record, event, reason);
			if (isApplied) {
				handleChange();
			}

			return isApplied;
		},
		ejectWithinFloor(record) {
			const lostSlotCount = COUNTS_AS_HEALTHY[record.state] ? record.target.slotCount : 0;
			const isAllowed = lostSlotCount === 0 || healthySlotCount() - lostSlotCount >= group.floorSlotCount;
			const isEjected = isAllowed && transition(record, HealthEvent.EjectionDecided, record.lastBadSign);
			if (isEjected) {
				metrics.increment(ports.CounterName.Ejections, {service: group.service, reason: record.lastBadSign});
				handleChange();
			}

			return isEjected;
		},
		replaceGroup(newGroup) {
			group = newGroup;
			const nowMs = clock.monotonicMs();
			records = new Map(
				newGroup.targets.map(target => {
					const existing = records.get(target.targetId);
					const record = existing ?? targetRecords.createTargetRecord(target, nowMs, options);
					record.target = target;
					if (!existing) {
						record.state = domain.TargetState.Cold;
						record.reason = 'added to the entry';
						enterHandlers[record.state](record, nowMs, domain.TargetState.Draining);
					}

					return [target.targetId, record];
				}),
			);
			allRecords = [...records.values()];
			handleChange();
		},
	};
};

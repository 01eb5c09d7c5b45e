import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import type {TargetGroup} from '../routing/target-groups.js';
import {AttemptResult, FAILURE_SIGNS, HealthSign} from './attempt-result.js';
import {createAttemptWatch, type AttemptInFlight} from './attempt-watch.js';
import {DEFAULT_HEALTH_OPTIONS, type HealthOptions} from './health-options.js';
import {createLatencyBaseline} from './latency-baseline.js';
import {LeavingSign} from './leaving-sign.js';
import {createPathCheck} from './path-check.js';
import {createTargetJudge} from './target-judge.js';
import {createTargetProbes} from './target-probes.js';
import {computeRampRatio, noteShedding, type TargetRecord} from './target-record.js';
import {createTargetRoster} from './target-roster.js';
import type {TargetStanding} from './standing.js';
import {readStanding, UNKNOWN_STANDING} from './target-standing.js';
import {HealthEvent} from './target-transitions.js';
import {createTimedChanges} from './timed-changes.js';

export {AttemptResult} from './attempt-result.js';
/** One attempt in flight, as health sees it. */
export type ObservedAttempt = {
	/** Reports the head of the answer, or the failure. Later reports of the same attempt are ignored. */
	finish(result: AttemptResult): void;
};

/**
 * Judges the targets of one group by the work that they do, and keeps the floor.
 *
 * What holds at hand-over: the judgement belongs to one scheduling node and is not transferred. A new scheduling node
 * starts with all targets healthy and none ejected, and its scheduler opens half of each target's slots at first. While
 * two nodes schedule the same group, each keeps the slots of its own healthy set at or above the group's floor, so every call meets at least that
 * capacity; the targets that both call healthy may be fewer than the floor.
 */
export type GroupHealth = {
	standingOf(targetId: string): TargetStanding;
	startAttempt(targetId: string, workClass: domain.WorkClass): ObservedAttempt;
	/** Takes over a changed entry at once. */
	replaceGroup(group: TargetGroup): void;
	markLeaving(targetId: string, reason: string): void;
	/** Slots of targets that count as healthy capacity. */
	healthySlotCount(): number;
	/** Registers a listener for changes of standing, after which waiting work may fit. */
	subscribe(listener: () => void): void;
	/** Runs the background tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export type GroupHealthDependencies = {
	readonly ports: Pick<ports.NodePorts, 'clock' | 'random' | 'metrics' | 'logger' | 'targetClient' | 'peerClient'>;
	readonly group: TargetGroup;
	/** Source of peers for path checks and of the VM list's leaving targets. */
	readonly directory?: Pick<MemberDirectory, 'self' | 'listLiveNodes' | 'isTargetLeaving'>;
	/** Called when this node itself saw that a target leaves, by its answers or its health endpoint. */
	readonly onLeavingSeen?: (targetId: string) => void;
	readonly options?: Partial<HealthOptions>;
};

/** A pause of the background task by this many ticks means that the process did not run. */
const PAUSE_TICKS = 4;

const PROBED_WHEN_IDLE: ReadonlySet<domain.TargetState> = new Set([
	domain.TargetState.Ejected,
	domain.TargetState.Probation,
	domain.TargetState.Draining,
]);

export const createGroupHealth = (dependencies: GroupHealthDependencies): GroupHealth => {
	const {clock, random, metrics, logger, targetClient} = dependencies.ports;
	const {directory} = dependencies;
	const options: HealthOptions = {...DEFAULT_HEALTH_OPTIONS, ...dependencies.options};
	const listeners: Array<() => void> = [];
	const baseline = createLatencyBaseline();
	const watch = createAttemptWatch();
	let lastAttemptAtMs = clock.monotonicMs();
	let {signal: runSignal} = new AbortController();

	const notify = (): void => {
		listeners.forEach(listener => {
			listener();
		});
	};

	const roster = createTargetRoster({clock, metrics, group: dependencies.group, options, onChange: notify});
	const judge = createTargetJudge({
		clock,
		logger,
		roster,
		options,
		signal: () => runSignal,
		checkPath: createPathCheck({
			ports: dependencies.ports,
			service: dependencies.group.service,
			timeoutMs: options.probeTimeoutMs,
			listPeers: () =>
				(directory?.listLiveNodes() ?? []).filter(node => node.availabilityZone !== directory?.self.availabilityZone),
		}),
		onMovedTogether() {
			baseline.reset();
		},
	});
	const timedChanges = createTimedChanges(roster, options);

	const seeLeaving = (record: TargetRecord, reason: string): void => {
		record.lastLeavingSignAtMs = clock.monotonicMs();
		// A peer may report the entry's own flag, which must not keep an edit that takes it back from acting at once.
		const isKnown = record.target.isDraining && reason === String(LeavingSign.PeerReport);
		if (isKnown) {
			return;
		}

		record.isDrainedByEntryOnly = false;
		if (!roster.apply(record, HealthEvent.LeavingSeen, reason)) {
			record.reason = reason;
		}
	};

	const probes = createTargetProbes({
		clock,
		random,
		targetClient,
		options,
		isNeeded(targetId) {
			const isActive = clock.monotonicMs() - lastAttemptAtMs < options.probeIdleMs;
			const state = roster.find(targetId)?.state;
			return isActive || (state !== undefined && PROBED_WHEN_IDLE.has(state));
		},
		onProbe(targetId, health) {
			const record = roster.find(targetId);
			if (!record) {
				return;
			}

			record.probe = {atMs: clock.monotonicMs(), isReady: health?.isReady ?? false};
			if (health?.isLeaving) {
				seeLeaving(record, LeavingSign.HealthEndpoint);
				dependencies.onLeavingSeen?.(targetId);
			}
		},
	});

	const refreshLeaving = (record: TargetRecord): void => {
		if (record.target.isDraining) {
			record.lastLeavingSignAtMs = clock.monotonicMs();
			record.isDrainedByEntryOnly ||= roster.apply(record, HealthEvent.LeavingSeen, LeavingSign.Entry);
		} else if (directory?.isTargetLeaving(record.target.address)) {
			seeLeaving(record, LeavingSign.VmList);
		} else if (record.isDrainedByEntryOnly) {
			// The entry alone kept the target drained, and an edit takes effect at once.
			record.isDrainedByEntryOnly = false;
			roster.apply(record, HealthEvent.LeavingEnded, 'no longer draining in the entry');
		}
	};

	const tick = (): void => {
		const nowMs = clock.monotonicMs();
		watch.collectOverdue(nowMs, baseline.limitMs, attempt => {
			const record = roster.find(attempt.targetId);
			if (record) {
				judge.observe(record, HealthSign.Overdue);
			}
		});
		const isOpening = roster.list().some(record => computeRampRatio(record.ramp, nowMs) < 1);
		roster.list().forEach(record => {
			refreshLeaving(record);
			timedChanges[record.state](record, nowMs);
		});
		judge.refresh();
		if (isOpening) {
			notify();
		}
	};

	const tickRepeatedly = async (signal: AbortSignal): Promise<void> => {
		let lastTickAtMs = clock.monotonicMs();
		while (!signal.aborted) {
			await clock.sleep(options.tickMs, signal);
			const pauseMs = clock.monotonicMs() - lastTickAtMs - options.tickMs;
			lastTickAtMs = clock.monotonicMs();
			if (pauseMs > PAUSE_TICKS * options.tickMs) {
				watch.excludePause(pauseMs);
			}

			tick();
		}
	};

	/** Sign of an attempt that has ended; absent when it says nothing about the target. */
	const readSign = (attempt: AttemptInFlight, result: AttemptResult): HealthSign | undefined => {
		if (result !== AttemptResult.Success) {
			return FAILURE_SIGNS[result];
		}

		const latencyMs = clock.monotonicMs() - attempt.startedAtMs;
		const limitMs = baseline.limitMs(attempt.workClass) ?? Infinity;
		baseline.observe(attempt.workClass, latencyMs);
		if (attempt.overdueCount > 0) {
			return undefined;
		}

		return latencyMs > limitMs ? HealthSign.Latency : HealthSign.Good;
	};

	const replaceGroup = (group: TargetGroup): void => {
		roster.replaceGroup(group);
		roster.list().forEach(refreshLeaving);
		probes.replaceTargets(group.targets);
	};

	roster.list().forEach(refreshLeaving);
	probes.replaceTargets(dependencies.group.targets);
	return {
		standingOf(targetId) {
			const record = roster.find(targetId);
			return record ? readStanding(record, clock.monotonicMs(), options) : UNKNOWN_STANDING;
		},
		startAttempt(targetId, workClass) {
			lastAttemptAtMs = clock.monotonicMs();
			const attempt = watch.start(targetId, workClass, lastAttemptAtMs);
			let isFinished = false;
			return {
				finish(result) {
					if (isFinished) {
						return;
					}

					isFinished = true;
					watch.finish(attempt);
					const sign = readSign(attempt, result);
					const record = roster.find(targetId);
					if (record && result !== AttemptResult.Cancelled) {
						noteShedding(record, result === AttemptResult.Shed, clock.monotonicMs());
					}

					if (record && sign !== undefined) {
						judge.observe(record, sign);
					}
				},
			};
		},
		replaceGroup,
		markLeaving(targetId, reason) {
			const record = roster.find(targetId);
			if (record) {
				seeLeaving(record, reason);
			}
		},
		healthySlotCount: () => roster.healthySlotCount(),
		subscribe(listener) {
			listeners.push(listener);
		},
		async run(signal) {
			runSignal = signal;
			await Promise.all([tickRepeatedly(signal), probes.run(signal)]);
		},
	};
};

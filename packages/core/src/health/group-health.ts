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
import {createTargetEvaluator} from './target-evaluator.js';
import {createTargetProbes} from './target-probes.js';
import {computeRampRatio, updateShedRatio, type TargetRecord} from './target-record.js';
import {createTargetRoster} from './target-roster.js';
import type {TargetStanding} from './standing.js';
import {readStanding, UNKNOWN_STANDING} from './target-standing.js';
import {HealthEvent} from './target-transitions.js';
import {createTimedChanges} from './timed-changes.js';

export {AttemptResult} from './attempt-result.js';
/** An attempt in flight whose result is observed as health evidence. */
export type ObservedAttempt = {
	/** Reports the arrival of the answer's head, or the failure. Later reports of the same attempt are ignored. */
	finish(result: AttemptResult): void;
};

/**
 * Evaluates the health of a group's targets by the results of calls and keeps healthy capacity at or above the floor.
 *
 * Hand-over: the health state is local to one scheduling node and is not transferred. A new scheduling node starts with
 * all targets healthy and none ejected, and its scheduler opens half of each target's slots at first. While two nodes
 * schedule the same group, each keeps the slots of its own healthy targets at or above the group's floor, so each call
 * has at least that capacity available; the targets that both nodes consider healthy may have fewer slots than that.
 */
export type GroupHealth = {
	standingOf(targetId: string): TargetStanding;
	startAttempt(targetId: string, workClass: domain.WorkClass): ObservedAttempt;
	/** Applies a changed entry immediately. */
	replaceGroup(group: TargetGroup): void;
	markLeaving(targetId: string, reason: string): void;
	/** Number of slots of the targets that count as healthy capacity. */
	healthySlotCount(): number;
	/** Registers a listener for changes of standing, after which queued calls may be schedulable. */
	subscribe(listener: () => void): void;
	/** Runs the background tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export type GroupHealthDependencies = {
	readonly ports: Pick<ports.NodePorts, 'clock' | 'random' | 'metrics' | 'logger' | 'targetClient' | 'peerClient'>;
	readonly group: TargetGroup;
	/** Source of the peers for path checks, and of the targets that are leaving according to the VM list. */
	readonly directory?: Pick<MemberDirectory, 'self' | 'listLiveNodes' | 'isTargetLeaving'>;
	/** Called when this node's own probe of the health endpoint shows that a target is leaving. */
	readonly onLeavingSeen?: (targetId: string) => void;
	readonly options?: Partial<HealthOptions>;
};

/** A tick that is late by more than this many periods means that the process was paused. */
const PAUSE_THRESHOLD_TICKS = 4;

/** States in which a target is probed even when the group has had no attempts for a while. */
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
	const attemptWatch = createAttemptWatch();
	let lastAttemptAtMs = clock.monotonicMs();
	let {signal: runSignal} = new AbortController();

	const notify = (): void => {
		listeners.forEach(listener => {
			listener();
		});
	};

	const roster = createTargetRoster({clock, metrics, group: dependencies.group, options, onChange: notify});
	const evaluator = createTargetEvaluator({
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
		onCommonCause() {
			baseline.reset();
		},
	});
	const timedChanges = createTimedChanges(roster, options);

	const recordLeavingSign = (record: TargetRecord, reason: string): void => {
		record.lastLeavingSignAtMs = clock.monotonicMs();
		// A peer may report the draining flag of the entry. That must not delay an edit which clears the flag.
		const isReportOfEntryFlag = record.target.isDraining && reason === String(LeavingSign.PeerReport);
		if (isReportOfEntryFlag) {
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
				recordLeavingSign(record, LeavingSign.HealthEndpoint);
				dependencies.onLeavingSeen?.(targetId);
			}
		},
	});

	const updateLeaving = (record: TargetRecord): void => {
		if (record.target.isDraining) {
			record.lastLeavingSignAtMs = clock.monotonicMs();
			record.isDrainedByEntryOnly ||= roster.apply(record, HealthEvent.LeavingSeen, LeavingSign.Entry);
		} else if (directory?.isTargetLeaving(record.target.address)) {
			recordLeavingSign(record, LeavingSign.VmList);
		} else if (record.isDrainedByEntryOnly) {
			// The draining flag of the entry was the only sign of leaving, and clearing it takes effect immediately.
			record.isDrainedByEntryOnly = false;
			roster.apply(record, HealthEvent.LeavingEnded, 'no longer draining in the entry');
		}
	};

	const tick = (): void => {
		const nowMs = clock.monotonicMs();
		attemptWatch.reportOverdue(nowMs, baseline.limitMs, attempt => {
			const record = roster.find(attempt.targetId);
			if (record) {
				evaluator.observe(record, HealthSign.Overdue);
			}
		});
		const hasRunningRamp = roster.list().some(record => computeRampRatio(record.ramp, nowMs) < 1);
		roster.list().forEach(record => {
			updateLeaving(record);
			timedChanges[record.state](record, nowMs);
		});
		evaluator.refresh();
		if (hasRunningRamp) {
			notify();
		}
	};

	const tickRepeatedly = async (signal: AbortSignal): Promise<void> => {
		let lastTickAtMs = clock.monotonicMs();
		while (!signal.aborted) {
			await clock.sleep(options.tickMs, signal);
			const pauseMs = clock.monotonicMs() - lastTickAtMs - options.tickMs;
			lastTickAtMs = clock.monotonicMs();
			if (pauseMs > PAUSE_THRESHOLD_TICKS * options.tickMs) {
				attemptWatch.excludePause(pauseMs);
			}

			tick();
		}
	};

	/** Sign of an attempt that has ended; undefined when it is no evidence about the target. */
	const deriveSign = (attempt: AttemptInFlight, result: AttemptResult): HealthSign | undefined => {
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
		roster.list().forEach(updateLeaving);
		probes.replaceTargets(group.targets);
	};

	roster.list().forEach(updateLeaving);
	probes.replaceTargets(dependencies.group.targets);
	return {
		standingOf(targetId) {
			const record = roster.find(targetId);
			return record ? readStanding(record, clock.monotonicMs(), options) : UNKNOWN_STANDING;
		},
		startAttempt(targetId, workClass) {
			lastAttemptAtMs = clock.monotonicMs();
			const attempt = attemptWatch.start(targetId, workClass, lastAttemptAtMs);
			let isFinished = false;
			return {
				finish(result) {
					if (isFinished) {
						return;
					}

					isFinished = true;
					attemptWatch.finish(attempt);
					const sign = deriveSign(attempt, result);
					const record = roster.find(targetId);
					if (record && result !== AttemptResult.Cancelled) {
						updateShedRatio(record, result === AttemptResult.Shed, clock.monotonicMs());
					}

					if (record && sign !== undefined) {
						evaluator.observe(record, sign);
					}
				},
			};
		},
		replaceGroup,
		markLeaving(targetId, reason) {
			const record = roster.find(targetId);
			if (record) {
				recordLeavingSign(record, reason);
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

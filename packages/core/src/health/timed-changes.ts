import * as domain from '@bilberrydoor/domain';
import type {HealthOptions} from './health-options.js';
import {computeRampRatio, type TargetRecord} from './target-record.js';
import type {TargetRoster} from './target-roster.js';
import {HealthEvent} from './target-transitions.js';

/** Creates the time-based state changes, by state. */
export const createTimedChanges = (
	roster: TargetRoster,
	options: HealthOptions,
): Readonly<Record<domain.TargetState, (record: TargetRecord, nowMs: number) => void>> => {
	const ignore = (): void => undefined;
	const isReadySince = ({probe}: TargetRecord, sinceMs: number): boolean =>
		probe !== undefined && probe.isReady && probe.atMs >= sinceMs;
	return {
		[domain.TargetState.Healthy]: ignore,
		[domain.TargetState.Suspect]: ignore,
		[domain.TargetState.Ejected](record, nowMs) {
			if (nowMs >= record.ejectedUntilMs && isReadySince(record, record.ejectedUntilMs - options.probePeriodMs)) {
				roster.apply(record, HealthEvent.EjectionTimePassed, record.reason);
			}
		},
		[domain.TargetState.Probation](record, nowMs) {
			const isIdle = nowMs - record.lastResultAtMs >= options.probationIdleMs;
			if (isIdle && isReadySince(record, record.lastResultAtMs)) {
				roster.apply(record, HealthEvent.ProbationIdle, 'no repeatable work during probation');
			}
		},
		[domain.TargetState.Draining](record, nowMs) {
			const endsAtMs = record.lastLeavingSignAtMs + options.leavingHoldMs;
			if (nowMs >= endsAtMs && isReadySince(record, endsAtMs - options.probePeriodMs)) {
				roster.apply(record, HealthEvent.LeavingEnded, 'no sign of leaving any more');
			}
		},
		[domain.TargetState.Cold](record, nowMs) {
			if (computeRampRatio(record.ramp, nowMs) >= 1) {
				roster.apply(record, HealthEvent.RampFinished, '');
			}
		},
	};
};

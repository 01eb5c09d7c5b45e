import * as domain from '@bilberrydoor/domain';

/** Events that change a target's state. */
export enum HealthEvent {
	/** The evidence has reached the threshold of suspicion. */
	SuspicionRaised = 'suspicion-raised',
	/** The evidence has returned to zero. */
	Cleared = 'cleared',
	/** The target is to be ejected, and the floor allows it. */
	EjectionDecided = 'ejection-decided',
	/** The ejection time is over and a probe was answered. */
	EjectionTimePassed = 'ejection-time-passed',
	/** The floor needs the target's slots. */
	CapacityNeeded = 'capacity-needed',
	/** The target received no repeatable work during probation. */
	ProbationIdle = 'probation-idle',
	/** A sign that the target is leaving was detected. */
	LeavingSeen = 'leaving-seen',
	/** The target shows no sign of leaving any more. */
	LeavingEnded = 'leaving-ended',
	/** All slots of a cold target are open. */
	RampFinished = 'ramp-finished',
}

/** Next state by current state and event. Events without an entry are ignored. */
export const TARGET_TRANSITIONS: Readonly<
	Record<domain.TargetState, Readonly<Partial<Record<HealthEvent, domain.TargetState>>>>
> = {
	[domain.TargetState.Healthy]: {
		[HealthEvent.SuspicionRaised]: domain.TargetState.Suspect,
		[HealthEvent.LeavingSeen]: domain.TargetState.Draining,
	},
	[domain.TargetState.Suspect]: {
		[HealthEvent.Cleared]: domain.TargetState.Healthy,
		[HealthEvent.EjectionDecided]: domain.TargetState.Ejected,
		[HealthEvent.LeavingSeen]: domain.TargetState.Draining,
	},
	[domain.TargetState.Ejected]: {
		[HealthEvent.EjectionTimePassed]: domain.TargetState.Probation,
		[HealthEvent.CapacityNeeded]: domain.TargetState.Suspect,
		[HealthEvent.LeavingSeen]: domain.TargetState.Draining,
	},
	[domain.TargetState.Probation]: {
		[HealthEvent.Cleared]: domain.TargetState.Healthy,
		[HealthEvent.EjectionDecided]: domain.TargetState.Ejected,
		[HealthEvent.CapacityNeeded]: domain.TargetState.Suspect,
		[HealthEvent.ProbationIdle]: domain.TargetState.Suspect,
		[HealthEvent.LeavingSeen]: domain.TargetState.Draining,
	},
	[domain.TargetState.Draining]: {
		[HealthEvent.LeavingEnded]: domain.TargetState.Cold,
	},
	[domain.TargetState.Cold]: {
		[HealthEvent.RampFinished]: domain.TargetState.Healthy,
		[HealthEvent.EjectionDecided]: domain.TargetState.Ejected,
		[HealthEvent.LeavingSeen]: domain.TargetState.Draining,
	},
};

/** Whether a target's slots count as healthy capacity for the floor. */
export const COUNTS_AS_HEALTHY: Readonly<Record<domain.TargetState, boolean>> = {
	[domain.TargetState.Healthy]: true,
	[domain.TargetState.Suspect]: true,
	[domain.TargetState.Ejected]: false,
	[domain.TargetState.Probation]: false,
	[domain.TargetState.Draining]: false,
	[domain.TargetState.Cold]: false,
};

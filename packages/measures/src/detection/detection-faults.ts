import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import type {DetectionWorld} from './detection-world.js';

/** Faults of the measurement `detection`. */
export enum DetectionFault {
	Errors = 'errors',
	Slow = 'slow',
	Stall = 'stall',
	Flapping = 'flapping',
	OneWay = 'one-way',
	SheddingOnly = 'shedding-only',
	AllSlow = 'all-slow',
	None = 'none',
}

/** Course of one fault over time. */
export type FaultCourse = {
	/** How long the fault lasts, in ms. */
	readonly durationMs: number;
	/** Load as a fraction of all slots while every target is healthy. */
	readonly loadRatio: number;
	/** Whether the faulty targets should be ejected. */
	readonly shouldBeDetected: boolean;
	/** Sets the faults of the targets `elapsedMs` after the start of the course. Called at the start of each step. */
	apply(world: DetectionWorld, elapsedMs: number): void;
};

/**
 * Interval between samples of the ejected targets and between changes of the fault, in ms. It is ten times as long when
 * the fault should not be detected.
 */
export const FAULT_STEP_MS = 20;
const FLAP_HALF_PERIOD_MS = 2000;
const TEN_MINUTES_MS = 600_000;

/** One target of each service with short work. */
export const listFaultyTargetIds = (world: DetectionWorld): string[] =>
	world.services.filter(({workClass}) => workClass === domain.WorkClass.Short).map(({service}) => `${service}-1`);

const setFault =
	(fault: fakes.FakeTargetFault) =>
	(world: DetectionWorld): void => {
		listFaultyTargetIds(world).forEach(targetId => {
			world.fleet.targets.get(targetId)!.fault = fault;
		});
	};

const cutAnswers = (world: DetectionWorld): void => {
	listFaultyTargetIds(world).forEach(targetId => {
		const {address} = world.fleet.targets.get(targetId)!.entry;
		world.nodePlaces.forEach(node => {
			world.fleet.network.cut(address, node.address);
		});
	});
};

const SHORT_COURSE = {durationMs: 2500, loadRatio: 0.5, shouldBeDetected: true};
/** The load is low to limit the cost of simulating complete nodes for 10 minutes; it also makes the comparison harder. */
const LONG_COURSE = {durationMs: TEN_MINUTES_MS, loadRatio: 0.005, shouldBeDetected: false};

export const FAULT_COURSES: Readonly<Record<DetectionFault, FaultCourse>> = {
	[DetectionFault.Errors]: {...SHORT_COURSE, apply: setFault(fakes.FakeTargetFault.Errors)},
	[DetectionFault.Slow]: {...SHORT_COURSE, apply: setFault(fakes.FakeTargetFault.Slow)},
	[DetectionFault.Stall]: {...SHORT_COURSE, apply: setFault(fakes.FakeTargetFault.Stall)},
	[DetectionFault.Flapping]: {
		...SHORT_COURSE,
		durationMs: 8000,
		apply(world, elapsedMs) {
			const isFaulty = elapsedMs % (2 * FLAP_HALF_PERIOD_MS) < FLAP_HALF_PERIOD_MS;
			setFault(isFaulty ? fakes.FakeTargetFault.Errors : fakes.FakeTargetFault.None)(world);
		},
	},
	[DetectionFault.OneWay]: {...SHORT_COURSE, apply: cutAnswers},
	[DetectionFault.SheddingOnly]: {...LONG_COURSE, apply: setFault(fakes.FakeTargetFault.Shed)},
	[DetectionFault.AllSlow]: {
		...LONG_COURSE,
		apply(world) {
			world.fleet.targets.forEach(target => {
				target.fault = fakes.FakeTargetFault.Slow;
			});
		},
	},
	[DetectionFault.None]: {...LONG_COURSE, apply: () => undefined},
};

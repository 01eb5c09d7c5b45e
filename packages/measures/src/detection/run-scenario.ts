import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {FAULT_COURSES, FAULT_STEP_MS, listFaultyTargetIds, type DetectionFault} from './detection-faults.js';
import {SCHEME_STARTERS, type DetectionScheme, type RunningScheme, type TargetView} from './detection-schemes.js';
import {buildDetectionWorld, type DetectionService, type DetectionWorld} from './detection-world.js';

/** Results of one scheme under one fault. */
export type DetectionFigures = {
	/** Time until the last faulty target was ejected, in ms; Infinity, which is null in JSON, when one was not ejected. */
	readonly detectionMs: number;
	/** Ejections of targets that were healthy, only shed load, or were slow together with all others. */
	readonly falseEjections: number;
	/** Slots of targets that were not ejected, in the view and sample with the smallest margin over the floor. */
	readonly minHealthyCapacity: number;
	readonly floor: number;
	/** Fraction of the calls since the start of the fault that did not complete with status 200. */
	readonly callerErrorRatio: number;
};

const WARM_UP_MS = 4000;
/** Fraction of the views with a target that must have ejected it before it counts as detected. */
const DETECTED_VIEW_RATIO = 0.5;
const OK_STATUS = 200;

type CallCounts = {isCounting: boolean; allCount: number; failedCount: number};

const isSuccessful = async (ending: domain.CallEnding): Promise<boolean> => {
	if (ending.outcome !== domain.Outcome.Completed) {
		return false;
	}

	await fakes.readText(ending.answer.body);
	return ending.answer.status === OK_STATUS;
};

const callOnce = async (
	scheme: RunningScheme,
	options: {nodeIndex: number; path: string; counts: CallCounts},
): Promise<void> => {
	const {nodeIndex, path, counts} = options;
	// A call that starts before the fault is not counted, even if it ends later.
	const {isCounting} = counts;
	const controller = new AbortController();
	const ending = await scheme.handleCall(nodeIndex, fakes.buildCall({path}), controller.signal);
	const isFailed = !(await isSuccessful(ending));
	controller.abort();
	if (isCounting) {
		counts.allCount++;
		counts.failedCount += isFailed ? 1 : 0;
	}
};

/** Sends calls for one service at random times to random nodes, independent of the endings of earlier calls. */
const sendCalls = async (
	world: DetectionWorld,
	scheme: RunningScheme,
	options: {service: DetectionService; loadRatio: number; seed: number; counts: CallCounts; signal: AbortSignal},
): Promise<void> => {
	const {service, loadRatio, counts, signal} = options;
	const random = fakes.createSeededRandom(options.seed);
	const meanPauseMs = service.serviceTimeMs / (service.targetCount * service.slotCount * loadRatio);
	while (!signal.aborted) {
		await world.fleet.clock.sleep(-Math.log(1 - random.fraction()) * meanPauseMs, signal);
		const nodeIndex = Math.floor(random.fraction() * world.nodePlaces.length);
		void callOnce(scheme, {nodeIndex, path: `/${service.service}`, counts});
	}
};

/** Records detections, false ejections and the smallest margin over the floor from samples of a scheme's views. */
const createViewWatch = (options: {faultyIds: ReadonlySet<string>; shouldBeDetected: boolean}) => {
	const detectedAtMs = new Map<string, number>();
	const previousEjectedIds = new Map<string, ReadonlySet<string>>();
	let falseEjectionCount = 0;
	let leastMarginView: TargetView | undefined;
	const marginOf = (view: TargetView): number => view.healthySlotCount - view.floorSlotCount;

	return {
		sample(views: readonly TargetView[], elapsedMs: number): void {
			views.forEach(view => {
				const previousIds = previousEjectedIds.get(view.viewId);
				const isFalse = (targetId: string): boolean => !options.shouldBeDetected || !options.faultyIds.has(targetId);
				falseEjectionCount += [...view.ejectedIds].filter(
					targetId => !previousIds?.has(targetId) && isFalse(targetId),
				).length;
				previousEjectedIds.set(view.viewId, view.ejectedIds);
				leastMarginView = leastMarginView && marginOf(leastMarginView) <= marginOf(view) ? leastMarginView : view;
			});
			[...options.faultyIds]
				.filter(targetId => !detectedAtMs.has(targetId))
				.forEach(targetId => {
					const viewsWithTarget = views.filter(view => view.targetIds.has(targetId));
					const ejectingViews = viewsWithTarget.filter(view => view.ejectedIds.has(targetId));
					if (viewsWithTarget.length > 0 && ejectingViews.length >= viewsWithTarget.length * DETECTED_VIEW_RATIO) {
						detectedAtMs.set(targetId, elapsedMs);
					}
				});
		},
		summarize(): Omit<DetectionFigures, 'callerErrorRatio'> {
			const isDetected = options.shouldBeDetected && detectedAtMs.size === options.faultyIds.size;
			return {
				detectionMs: isDetected ? Math.max(...detectedAtMs.values()) : Infinity,
				falseEjections: falseEjectionCount,
				minHealthyCapacity: leastMarginView?.healthySlotCount ?? 0,
				floor: leastMarginView?.floorSlotCount ?? 0,
			};
		},
	};
};

/** Runs the fleet under one fault with one scheme. */
export const runScenario = async (options: {
	scheme: DetectionScheme;
	fault: DetectionFault;
	seed: number;
}): Promise<DetectionFigures> => {
	const {seed} = options;
	const course = FAULT_COURSES[options.fault];
	const world = buildDetectionWorld(seed);
	const {clock} = world.fleet;
	const scheme = await SCHEME_STARTERS[options.scheme](world);
	const counts: CallCounts = {isCounting: false, allCount: 0, failedCount: 0};
	const controller = new AbortController();
	world.services.forEach((service, index) => {
		const callOptions = {service, loadRatio: course.loadRatio, seed: seed + index, counts, signal: controller.signal};
		void sendCalls(world, scheme, callOptions);
	});
	const watch = createViewWatch({
		faultyIds: new Set(listFaultyTargetIds(world)),
		shouldBeDetected: course.shouldBeDetected,
	});
	await clock.advance(WARM_UP_MS);
	counts.isCounting = true;
	const stepMs = course.shouldBeDetected ? FAULT_STEP_MS : 10 * FAULT_STEP_MS;
	for (let elapsedMs = 0; elapsedMs < course.durationMs; elapsedMs += stepMs) {
		course.apply(world, elapsedMs);
		await clock.advance(stepMs);
		watch.sample(scheme.listViews(), elapsedMs + stepMs);
	}

	controller.abort();
	scheme.stop();
	const callerErrorRatio = Math.round((1e5 * counts.failedCount) / Math.max(1, counts.allCount)) / 1e5;
	return {...watch.summarize(), callerErrorRatio};
};

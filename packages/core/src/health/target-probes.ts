import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {HealthOptions} from './health-options.js';

/** Periodic health probes of the group's targets, one task for each target. */
export type TargetProbes = {
	/** Starts tasks for new targets and ends those of removed targets. */
	replaceTargets(targets: readonly domain.TargetEntry[]): void;
	/** Runs until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export const createTargetProbes = (dependencies: {
	clock: ports.Clock;
	random: ports.Random;
	targetClient: ports.TargetClient;
	options: HealthOptions;
	/** Whether the target is to be probed now. */
	isNeeded: (targetId: string) => boolean;
	/** Called with the target's reported health; undefined when the probe failed or was not answered in time. */
	onProbe: (targetId: string, health: ports.TargetHealth | undefined) => void;
}): TargetProbes => {
	const {clock, random, targetClient, options} = dependencies;
	const controllers = new Map<string, AbortController>();
	let targets: ReadonlyMap<string, domain.TargetEntry> = new Map();
	let isRunning = false;

	const probe = async (target: domain.TargetEntry, signal: AbortSignal): Promise<void> => {
		const probed = await runWithTimeout({clock, timeoutMs: options.probeTimeoutMs, signal}, async probeSignal =>
			targetClient.probe(target, random.token(), probeSignal),
		);
		if (!signal.aborted) {
			const isAnswered = !probed.isTimedOut && probed.value.isOk();
			dependencies.onProbe(target.targetId, isAnswered ? probed.value._unsafeUnwrap() : undefined);
		}
	};

	const probeRepeatedly = async (targetId: string, signal: AbortSignal): Promise<void> => {
		// The first pause is random, so that the targets of a group are not all probed at the same time.
		await clock.sleep(options.probePeriodMs * random.fraction(), signal);
		while (!signal.aborted) {
			const target = targets.get(targetId);
			if (target && dependencies.isNeeded(targetId)) {
				await probe(target, signal);
			}

			await clock.sleep(options.probePeriodMs, signal);
		}
	};

	const startTasks = (): void => {
		[...targets.keys()]
			.filter(targetId => isRunning && !controllers.has(targetId))
			.forEach(targetId => {
				const controller = new AbortController();
				controllers.set(targetId, controller);
				void probeRepeatedly(targetId, controller.signal);
			});
	};

	const endTask = (targetId: string): void => {
		controllers.get(targetId)?.abort();
		controllers.delete(targetId);
	};

	return {
		replaceTargets(newTargets) {
			targets = new Map(newTargets.map(target => [target.targetId, target]));
			[...controllers.keys()].filter(targetId => !targets.has(targetId)).forEach(endTask);
			startTasks();
		},
		async run(signal) {
			isRunning = !signal.aborted;
			startTasks();
			await new Promise<void>(resolve => {
				const end = (): void => {
					isRunning = false;
					[...controllers.keys()].forEach(endTask);
					resolve();
				};

				if (signal.aborted) {
					end();
				}

				signal.addEventListener('abort', end, {once: true});
			});
		},
	};
};

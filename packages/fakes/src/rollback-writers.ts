import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import {buildFleetCatalogue, buildHostRoute, buildTarget} from './build-fleet.js';
import type {FakeRegistryStore} from './fake-registry-store.js';

export const HEARTBEAT_MS = 1500;

const {Catalogue, Targets} = core.RegistryTopic;

type ModelledTarget = {readonly phaseMs: number; readiness: domain.TargetReadiness; isGone: boolean};

/** Targets that register, send heartbeats and leave, and the operator, as the platform has them. */
export const createRollbackWriters = (clock: core.Clock, store: FakeRegistryStore) => {
	const targets = new Map<string, ModelledTarget>();
	let newestVersion = 1;
	const writeTarget = (targetId: string): void => {
		const {readiness} = targets.get(targetId)!;
		store.write(Targets, targetId, buildTarget({targetId, readiness}));
	};

	const writeCatalogue = (): void => {
		store.write(Catalogue, 'config', buildFleetCatalogue(newestVersion, [buildHostRoute()]));
	};

	const runHeartbeats = async (targetId: string, target: ModelledTarget): Promise<void> => {
		await clock.sleep(target.phaseMs);
		while (!target.isGone) {
			if (!store.isDown) {
				writeTarget(targetId);
			}

			await clock.sleep(HEARTBEAT_MS);
		}
	};

	return {
		targets,
		writeCatalogue,
		changeCatalogue() {
			newestVersion++;
			writeCatalogue();
		},
		newestVersion: () => newestVersion,
		register(targetId: string) {
			const phaseMs = HEARTBEAT_MS * (((targets.size * 7) % 10) / 10) + HEARTBEAT_MS / 10;
			const target = {phaseMs, readiness: domain.TargetReadiness.Ready, isGone: false};
			targets.set(targetId, target);
			writeTarget(targetId);
			void runHeartbeats(targetId, target);
		},
		drain(targetId: string) {
			targets.get(targetId)!.readiness = domain.TargetReadiness.Draining;
			writeTarget(targetId);
		},
		remove(targetId: string) {
			targets.get(targetId)!.isGone = true;
			store.write(Targets, targetId, undefined);
		},
		/** Removes the registrations of targets that have gone, which the store restored, as they expire. */
		expire() {
			[...store.listValues(Targets).keys()]
				.filter(targetId => targets.get(targetId)!.isGone)
				.forEach(targetId => {
					store.write(Targets, targetId, undefined);
				});
		},
	};
};

export type RollbackWriters = ReturnType<typeof createRollbackWriters>;

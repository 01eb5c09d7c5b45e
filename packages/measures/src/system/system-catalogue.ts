import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import type * as domain from '@bilberrydoor/domain';
import * as standIns from '@bilberrydoor/stand-ins';

/** Targets of each service, spread over the four availability zones of the user. */
const TARGETS_PER_SERVICE = 4;

/** Shorter than the pause of a node in the fault schedule, so operations expire while their executor is paused. */
const OPERATION_EXPIRY_MS = 3000;
const OPERATION_RETENTION_MS = 60_000;

/** Floor as a fraction of the slots: half for the services that the requirements name, a quarter for the others. */
const FLOOR_RATIOS: Readonly<Record<string, number>> = {
	ratiba: 0.5,
	malipo: 0.5,
	picha: 0.25,
	recettes: 0.5,
	impression: 0.5,
	controle: 0.25,
};

/** Targets to launch for the example catalogue. */
export const listSystemTargets = async (): Promise<standIns.LaunchFleetOptions['targets']> => {
	const entries = await standIns.loadExampleCatalogue();
	return entries.flatMap(entry =>
		entry.targets.slice(0, TARGETS_PER_SERVICE).map(({targetId, region, availabilityZone}) => ({
			targetId,
			region,
			availabilityZone,
			serviceTimeMs: 10,
			fault: 'none',
		})),
	);
};

const adaptEntry = (
	entry: domain.CatalogueEntry,
	launched: readonly standIns.LaunchedTarget[],
): domain.CatalogueEntry => {
	const targets = entry.targets.flatMap(target => {
		const found = launched.find(({targetId}) => targetId === target.targetId);
		return found ? [{...target, address: found.address}] : [];
	});
	const slotCount = targets.reduce((sum, target) => sum + target.slotCount, 0);
	return {
		...entry,
		targets,
		floorSlotCount: Math.floor(slotCount * FLOOR_RATIOS[entry.service]!),
		operations: {...entry.operations, expiryMs: OPERATION_EXPIRY_MS, retentionMs: OPERATION_RETENTION_MS},
	};
};

/** Publishes the example catalogue with the launched targets. Throws when an entry is not accepted. */
export const publishSystemCatalogue = async (fleet: standIns.LaunchedFleet): Promise<void> => {
	const entries = await standIns.loadExampleCatalogue();
	const files = await Promise.all(
		entries.map(async entry => {
			const file = path.join(fleet.directory, `${entry.service}.jsonc`);
			await fs.writeFile(file, JSON.stringify(adaptEntry(entry, fleet.targets)));
			return file;
		}),
	);
	const applied = await fleet.runCli(['catalogue', 'apply', '--wait', ...files]);
	if (applied.exitCode !== 0) {
		throw new Error(`the catalogue was not accepted: ${applied.output}`);
	}
};

/** Applies two different edits of the same entry concurrently. Returns the exit codes of the commands. */
export const editConcurrently = async (fleet: standIns.LaunchedFleet): Promise<readonly number[]> => {
	const text = await fs.readFile(path.join(fleet.directory, 'picha.jsonc'), 'utf8');
	const entry = JSON.parse(text) as domain.CatalogueEntry;
	return Promise.all(
		[1, 2].map(async operator => {
			const file = path.join(fleet.directory, `picha-${operator}.jsonc`);
			await fs.writeFile(file, JSON.stringify({...entry, linkWeight: operator + 1}));
			const result = await fleet.runCli(['catalogue', 'apply', file]);
			return result.exitCode ?? -1;
		}),
	);
};

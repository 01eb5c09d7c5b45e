import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as url from 'node:url';
import * as adapters from '@bilberrydoor/adapters';
import type * as domain from '@bilberrydoor/domain';
import type {LaunchedTarget} from '../launch/launch-fleet.js';

const EXAMPLES_DIRECTORY = url.fileURLToPath(new URL('../../../../examples/catalogue/', import.meta.url));

/** Reads the entries of the example catalogue. Throws when one is invalid, since the repository ships them. */
export const loadExampleCatalogue = async (): Promise<domain.CatalogueEntry[]> => {
	const listed = await fs.readdir(EXAMPLES_DIRECTORY);
	const fileNames = listed.filter(name => name.endsWith('.jsonc')).toSorted();
	return Promise.all(
		fileNames.map(async fileName => {
			const text = await fs.readFile(path.join(EXAMPLES_DIRECTORY, fileName), 'utf8');
			const parsed = adapters.parseDocument({fileName, text, schema: adapters.catalogueEntrySchema});
			if (parsed.isErr()) {
				throw new Error(parsed.error.map(adapters.formatProblem).join('\n'));
			}

			return parsed.value;
		}),
	);
};

/**
 * Fits an entry to the launched targets, which all services share: keeps as many targets as were launched, gives them the
 * launched addresses, and scales the floor with the number of targets.
 */
export const fitEntryToTargets = (
	entry: domain.CatalogueEntry,
	launched: readonly LaunchedTarget[],
): domain.CatalogueEntry => {
	const targets = entry.targets
		.slice(0, launched.length)
		.map((target, index) => ({...target, address: launched[index]!.address}));
	const ratio = targets.length / entry.targets.length;
	return {...entry, targets, floorSlotCount: Math.floor(entry.floorSlotCount * ratio)};
};

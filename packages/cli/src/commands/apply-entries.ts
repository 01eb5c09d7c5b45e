import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {NodeClient} from '../node-client.js';

/** Reads and validates one entry file. Errors name file and line. */
export const loadEntryFile = async (
	fileName: string,
): Promise<neverthrow.Result<domain.CatalogueEntry, readonly string[]>> => {
	try {
		const text = await fs.readFile(fileName, 'utf8');
		return adapters
			.parseDocument({fileName, text, schema: adapters.catalogueEntrySchema})
			.mapErr(problems => problems.map(adapters.formatProblem));
	} catch (error) {
		return neverthrow.err([`${fileName}: cannot be read: ${String(error)}`]);
	}
};

const readRevision = async (client: NodeClient, service: string): Promise<number> => {
	const item = await client.get(`/-/admin/entries/${service}`);
	return item.isOk() ? (item.value as domain.CatalogueItem).revision : 0;
};

/** Submits one entry as an edit of the current revision. */
export const applyEntry = async (
	client: NodeClient,
	entry: domain.CatalogueEntry,
): Promise<neverthrow.Result<core.EditReport, string>> => {
	const report = await client.post('/-/admin/edits', {
		editId: crypto.randomUUID(),
		service: entry.service,
		baseRevision: await readRevision(client, entry.service),
		entry,
	});
	return report.map(value => value as core.EditReport);
};

import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as adapters from '@bilberrydoor/adapters';
import type * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';

/** An edit of unknown outcome, stored beside its entry file so that a repeated apply uses the same edit id. */
export type PendingEdit = {
	readonly editId: string;
	readonly baseRevision: number;
	/** Digest of the entry, so that a changed file makes a new edit. */
	readonly entryDigest: string;
};

const pendingEditSchema = zod.object({
	editId: zod.string(),
	baseRevision: zod.number().int(),
	entryDigest: zod.string(),
});

const buildFileName = (entryFile: string): string => `${entryFile}.pending-edit`;

const digestEntry = (entry: domain.CatalogueEntry): string =>
	crypto.createHash('sha256').update(adapters.serializeCanonically(entry)).digest('hex');

/** Reads the stored edit of an entry file; undefined when there is none or the entry has changed since. */
export const readPendingEdit = async (
	entryFile: string,
	entry: domain.CatalogueEntry,
): Promise<PendingEdit | undefined> => {
	try {
		const pending = pendingEditSchema.parse(JSON.parse(await fs.readFile(buildFileName(entryFile), 'utf8')));
		return pending.entryDigest === digestEntry(entry) ? pending : undefined;
	} catch {
		return undefined;
	}
};

/** Stores an edit before it is sent. Rejects when the directory cannot be written. */
export const savePendingEdit = async (
	entryFile: string,
	entry: domain.CatalogueEntry,
	baseRevision: number,
): Promise<PendingEdit> => {
	const pending = {editId: crypto.randomUUID(), baseRevision, entryDigest: digestEntry(entry)};
	await fs.writeFile(buildFileName(entryFile), `${JSON.stringify(pending)}\n`);
	return pending;
};

/** Deletes the stored edit once its outcome is known. */
export const deletePendingEdit = async (entryFile: string): Promise<void> =>
	fs.rm(buildFileName(entryFile), {force: true});

import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';
import {catalogueEntrySchema} from './catalogue-entry-schema.js';

const shortText = zod.string().max(128);
const serviceSchema = zod.string().min(1).max(63);
const editIdSchema = zod.string().min(1).max(64);
const offsetSchema = zod.number().int().min(0);
const revisionSchema = zod.number().int().min(1);

const revisionSummarySchema = zod.strictObject({
	revision: revisionSchema,
	editId: editIdSchema,
	author: shortText,
	offset: offsetSchema,
	isRemoval: zod.boolean(),
});

const catalogueItemSchema = zod.strictObject({
	service: serviceSchema,
	revision: revisionSchema,
	editId: editIdSchema,
	author: shortText,
	entry: catalogueEntrySchema.optional(),
	history: zod.array(revisionSummarySchema).max(64),
});

const editDecisionSchema = zod.strictObject({
	editId: editIdSchema,
	service: serviceSchema,
	author: shortText,
	offset: offsetSchema,
	verdict: zod.enum(domain.EditVerdict),
	revision: zod.number().int().min(0),
});

/** Schema of a part of a snapshot, used in the log and in messages between nodes. */
export const snapshotPartSchema = zod.strictObject({
	offset: offsetSchema,
	digest: shortText,
	partIndex: zod.number().int().min(0).max(100_000),
	partCount: zod.number().int().min(1).max(100_000),
	items: zod.array(catalogueItemSchema),
	recentEdits: zod.array(editDecisionSchema),
});

/** Schema of the records in the log's catalogue stream. */
export const catalogueRecordSchema = zod.discriminatedUnion('kind', [
	zod.strictObject({
		kind: zod.literal(domain.CatalogueRecordKind.Edit),
		editId: editIdSchema,
		service: serviceSchema,
		author: zod.string().min(1).max(128),
		baseRevision: zod.number().int().min(0),
		entry: catalogueEntrySchema.optional(),
	}),
	zod.strictObject({
		kind: zod.literal(domain.CatalogueRecordKind.Snapshot),
		part: snapshotPartSchema,
	}),
]);

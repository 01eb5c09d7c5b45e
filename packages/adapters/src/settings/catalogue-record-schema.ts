import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';
import {catalogueEntrySchema} from './catalogue-entry-schema.js';

const catalogueItemSchema = zod.strictObject({
	service: zod.string().max(63),
	revision: zod.number().int().min(1),
	editId: zod.string().max(64),
	author: zod.string().max(128),
	entry: catalogueEntrySchema.optional(),
});

export const catalogueSnapshotSchema = zod.strictObject({
	offset: zod.number().int(),
	items: zod.array(catalogueItemSchema),
	digest: zod.string().max(128),
});

/** Schema of the records in the log's catalogue stream. */
export const catalogueRecordSchema = zod.discriminatedUnion('kind', [
	zod.strictObject({
		kind: zod.literal(domain.CatalogueRecordKind.Edit),
		editId: zod.string().min(1).max(64),
		service: zod.string().min(1).max(63),
		author: zod.string().min(1).max(128),
		baseRevision: zod.number().int().min(0),
		entry: catalogueEntrySchema.optional(),
	}),
	zod.strictObject({
		kind: zod.literal(domain.CatalogueRecordKind.Snapshot),
		snapshot: catalogueSnapshotSchema,
	}),
]);

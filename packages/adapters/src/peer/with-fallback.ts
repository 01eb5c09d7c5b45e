import * as zod from 'zod';

/** Accepts every value: one that does not match the schema is replaced by the fallback. */
export const withFallback = <Schema extends zod.ZodType>(
	schema: Schema,
	fallback: zod.output<Schema>,
): zod.ZodType<zod.output<Schema>> => zod.union([schema, zod.unknown().transform(() => fallback)]);

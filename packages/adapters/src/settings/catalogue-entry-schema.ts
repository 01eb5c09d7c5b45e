import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';

const MS_PER_SECOND = 1000;
const MEBIBYTE_BYTES = 1024 * 1024;

const namePattern = /^[a-z\d][a-z\d-]{0,62}$/;
const nameSchema = zod
	.string()
	.regex(namePattern, 'must be 1 to 63 lower-case letters, digits and hyphens, and not start with a hyphen');
const addressSchema = zod
	.string()
	.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IP number and a port, such as 127.0.0.1:7001');

const routeSchema = zod.strictObject({
	pathPrefix: zod.string().regex(/^\/[^?#]*$/, 'must be a path that starts with / and has no query'),
	methods: zod
		.array(zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']))
		.min(1)
		.default(['GET']),
	workClass: zod.enum(domain.WorkClass).default(domain.WorkClass.Short),
	repeatability: zod.enum(domain.Repeatability),
	deadlineMs: zod
		.number()
		.int()
		.min(1)
		.max(600 * MS_PER_SECOND)
		.default(5 * MS_PER_SECOND),
	requestBodyLimitBytes: zod
		.number()
		.int()
		.min(0)
		.max(1024 * MEBIBYTE_BYTES)
		.default(MEBIBYTE_BYTES),
	answerBodyLimitBytes: zod
		.number()
		.int()
		.min(0)
		.max(1024 * MEBIBYTE_BYTES)
		.default(32 * MEBIBYTE_BYTES),
	rateLimitPerSecond: zod.number().positive().optional(),
});

const targetSchema = zod.strictObject({
	targetId: nameSchema,
	address: addressSchema,
	region: nameSchema,
	availabilityZone: nameSchema,
	slotCount: zod.number().int().min(1).max(10_000),
	connectionLimit: zod.number().int().min(1).max(100_000).default(300),
	isDraining: zod.boolean().default(false),
});

const workspaceLimitSchema = zod.strictObject({
	ratePerSecond: zod.number().positive().default(1000),
	burstCount: zod.number().int().min(1).default(1000),
	weight: zod.number().positive().max(1000).default(1),
});

const queueSchema = zod.strictObject({
	limitCount: zod.number().int().min(0).max(100_000).default(1000),
	limitBytes: zod
		.number()
		.int()
		.min(0)
		.max(1024 * MEBIBYTE_BYTES)
		.default(16 * MEBIBYTE_BYTES),
});

const operationsSchema = zod.strictObject({
	expiryMs: zod
		.number()
		.int()
		.min(MS_PER_SECOND)
		.max(86_400 * MS_PER_SECOND)
		.default(600 * MS_PER_SECOND),
	retentionMs: zod
		.number()
		.int()
		.min(MS_PER_SECOND)
		.max(86_400 * MS_PER_SECOND)
		.default(600 * MS_PER_SECOND),
	answerCopyLimitBytes: zod
		.number()
		.int()
		.min(0)
		.max(MEBIBYTE_BYTES)
		.default(16 * 1024),
});

const findDuplicate = (values: readonly string[]): string | undefined =>
	values.find((value, index) => values.indexOf(value) !== index);

/** Schema of a catalogue entry, version 1. Unknown fields are rejected, and absent ones get their defaults. */
export const catalogueEntrySchema = zod
	.strictObject({
		schemaVersion: zod.literal(1),
		service: nameSchema,
		owner: nameSchema,
		routes: zod.array(routeSchema).min(1).max(10_000),
		targets: zod.array(targetSchema).max(10_000),
		floorSlotCount: zod.number().int().min(0).default(0),
		shortReserveRatio: zod.number().min(0).max(1).default(0.25),
		retryBudgetRatio: zod.number().min(0).max(1).default(0.1),
		refusalStatuses: zod.array(zod.number().int().min(400).max(599)).default([429, 503]),
		queue: queueSchema.default(queueSchema.parse({})),
		defaultWorkspaceLimit: workspaceLimitSchema.default(workspaceLimitSchema.parse({})),
		workspaceLimits: zod.record(zod.string().max(64), workspaceLimitSchema).default({}),
		operations: operationsSchema.default(operationsSchema.parse({})),
		linkWeight: zod.number().positive().max(1000).default(1),
	})
	.superRefine((entry, context) => {
		const duplicateTarget = findDuplicate(entry.targets.map(target => target.targetId));
		if (duplicateTarget !== undefined) {
			context.addIssue({code: 'custom', path: ['targets'], message: `must not name target ${duplicateTarget} twice`});
		}

		const duplicatePrefix = findDuplicate(
			entry.routes.flatMap(route => route.methods.map(method => `${method} ${route.pathPrefix}`)),
		);
		if (duplicatePrefix !== undefined) {
			context.addIssue({code: 'custom', path: ['routes'], message: `must not have ${duplicatePrefix} twice`});
		}

		const slotCount = entry.targets.reduce((sum, target) => sum + target.slotCount, 0);
		if (entry.floorSlotCount > slotCount) {
			context.addIssue({
				code: 'custom',
				path: ['floorSlotCount'],
				message: `must be at most ${slotCount}, the slots of all targets`,
			});
		}
	});

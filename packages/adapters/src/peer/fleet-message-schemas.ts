import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import {decodeCatalogue, encodeCatalogue, cacheCatalogueText} from './catalogue-text.js';
import {QUOTA_MESSAGE_SCHEMAS} from './quota-message-schemas.js';
import {withFallback} from './with-fallback.js';

const targetSchema = zod.object({
	targetId: zod.string(),
	startedAtMs: zod.number(),
	service: zod.string(),
	address: zod.string(),
	region: zod.string(),
	availabilityZone: zod.string(),
	slotCount: zod.int().positive(),
	readiness: zod.enum(domain.TargetReadiness),
	warmUpLeftMs: zod.number(),
});

const nodeSchema = zod.object({
	nodeId: zod.string(),
	incarnationId: zod.string(),
	address: zod.string(),
	region: zod.string(),
	availabilityZone: zod.string(),
	capacityCores: zod.number().positive().default(domain.DEFAULT_CAPACITY_CORES),
});

/** Nodes of other versions may know more kinds of calls. A call that this node knows nothing of runs at most once. */
const repeatabilitySchema = withFallback(zod.enum(domain.Repeatability), domain.Repeatability.Single);

const routeSchema = zod.object({
	routeId: zod.string(),
	host: zod.string(),
	pathPrefix: zod.string(),
	shares: zod.array(zod.object({service: zod.string(), weight: zod.number()})).min(1),
	repeatability: repeatabilitySchema,
	isBulk: zod.boolean(),
	timeoutMs: zod.number(),
	latencyObjectiveMs: zod.number(),
	attemptLimit: zod.int().positive(),
	priority: zod.number(),
	isPublic: zod.boolean().optional(),
});

const workspaceSchema = zod.object({
	name: zod.string(),
	keyDigests: zod.array(zod.string()),
	priority: zod.number().optional(),
	ratePerSecond: zod.number().nonnegative(),
	burstCount: zod.number().nonnegative(),
});

const optionalTextSchema = withFallback(zod.string().optional(), undefined);

const unreadableRouteSchema = zod.object({
	routeId: optionalTextSchema,
	host: optionalTextSchema,
	pathPrefix: optionalTextSchema,
});

type ParsedRoutes = Pick<domain.FleetCatalogue, 'routes' | 'unreadableRoutes'>;

/** Parses each route by itself, so that one of another version does not take the others out of force. */
const parseRoutes = (given: readonly unknown[]): ParsedRoutes => {
	const parsed = given.map(route => ({route, result: routeSchema.safeParse(route)}));
	return {
		routes: parsed.flatMap(({result}) => (result.success ? [result.data] : [])),
		unreadableRoutes: parsed.flatMap(({route, result}) =>
			result.success ? [] : [unreadableRouteSchema.safeParse(route).data ?? {}],
		),
	};
};

const catalogueSchema = zod.object({
	version: zod.number(),
	routes: zod.array(zod.unknown()).transform(parseRoutes),
	// Nodes of earlier versions omit this field.
	unreadableRoutes: zod.array(unreadableRouteSchema).default([]),
	services: zod.array(zod.object({service: zod.string(), healthPath: zod.string(), connectionLimit: zod.number()})),
	limits: zod.object({
		headerLimitBytes: zod.number(),
		bodyLimitBytes: zod.number(),
		headerTimeoutMs: zod.number(),
		idleTimeoutMs: zod.number(),
	}),
	workspaces: zod.array(workspaceSchema).optional(),
});

const joinRoutes = ({
	routes: {routes, unreadableRoutes},
	...catalogue
}: zod.output<typeof catalogueSchema>): domain.FleetCatalogue => ({
	...catalogue,
	routes,
	unreadableRoutes: [...catalogue.unreadableRoutes, ...unreadableRoutes],
});

/** Catalogues are sent compressed, because the complete catalogue goes to each node of a region. */
const catalogueTextSchema = zod.string().transform((text, context): domain.FleetCatalogue => {
	const parsed = decodeCatalogue(text).andThen(value => {
		const checked = catalogueSchema.safeParse(value);
		return checked.success ? neverthrow.ok(joinRoutes(checked.data)) : neverthrow.err(checked.error.message);
	});
	if (parsed.isErr()) {
		context.addIssue({code: 'custom', message: parsed.error});
		return zod.NEVER;
	}

	cacheCatalogueText(parsed.value, text);
	return parsed.value;
});

const buildRecordSchema = <Value extends zod.ZodType>(value: Value) =>
	zod.object({
		key: zod.string(),
		offset: zod.int(),
		value: value.optional(),
	});

/** Accepts records of other versions. One that cannot be read is marked, so that the other records of a reply stay in use. */
const buildTolerantRecordSchema = <Value extends zod.ZodType>(value: Value) =>
	buildRecordSchema(zod.unknown()).transform(record => {
		const parsed = value.optional().safeParse(record.value);
		return {...record, value: parsed.data, ...(!parsed.success && {isUnreadable: true})};
	});

/** Era of the store. Nodes of earlier versions omit all fields of this kind. */
const eraSchema = zod.int().nonnegative();

const buildTopicChangesSchema = <RecordSchema extends zod.ZodType>(record: RecordSchema) =>
	zod.object({
		records: zod.array(record),
		nextOffset: zod.int(),
		era: eraSchema.optional(),
		restoredBeforeOffset: zod.int().nonnegative().optional(),
		isWhole: zod.boolean(),
	});

const targetNoticeSchema = zod.object({
	targetId: zod.string(),
	startedAtMs: zod.number(),
	isLeaving: zod.boolean(),
	pauseLeftMs: zod.number().nonnegative(),
});

/** Nodes of earlier versions omit this field. */
const targetNoticesSchema = zod.array(targetNoticeSchema).default([]);

const acquireGrantRequestSchema = zod.object({
	requestId: zod.string(),
	nodeId: zod.string(),
	availabilityZone: zod.string(),
	routeId: zod.string(),
	service: zod.string(),
	region: zod.string(),
	isFromOtherRegion: zod.boolean().optional(),
	bodyBytes: zod.number().nonnegative().optional(),
	priority: zod.number(),
	workspace: zod.string().optional(),
	repeatability: repeatabilitySchema,
	attemptIndex: zod.int().nonnegative(),
	isReplacement: zod.boolean().optional(),
	// Nodes of earlier versions omit this field. Without the default, newer nodes would refuse their requests during a
	// rolling update.
	isNewCall: zod.boolean().default(false),
	remainingMs: zod.number(),
	objectiveLeftMs: zod.number(),
	waitLimitMs: zod.number(),
	isLastResort: zod.boolean(),
	excludedTargetIds: zod.array(zod.string()),
	targetNotices: targetNoticesSchema,
});

const acquireGrantReplySchema = zod.discriminatedUnion('isGranted', [
	zod.object({
		isGranted: zod.literal(true),
		grantId: zod.string(),
		target: targetSchema,
		targetOffset: zod.int().optional(),
		targetEra: eraSchema.optional(),
		standing: zod.string(),
		usualDurationMs: zod.number().optional(),
		targetNotices: zod.array(targetNoticeSchema).optional(),
	}),
	zod.object({
		isGranted: zod.literal(false),
		refusal: withFallback(zod.enum(core.GrantRefusal), core.GrantRefusal.Busy),
		predictedWaitMs: zod.number(),
		roomAfterMs: zod.number().nonnegative().optional(),
		targetNotices: zod.array(targetNoticeSchema).optional(),
	}),
]);

type MessageSchemas = {
	readonly [Kind in core.FleetMessageKind]: {
		readonly request: zod.ZodType<core.FleetMessages[Kind]['request']>;
		readonly reply: zod.ZodType<core.FleetMessages[Kind]['reply']>;
	};
};

/** Schemas of the request and reply of each message between nodes. */
export const FLEET_MESSAGE_SCHEMAS: MessageSchemas = {
	[core.FleetMessageKind.AcquireGrant]: {request: acquireGrantRequestSchema, reply: acquireGrantReplySchema},
	[core.FleetMessageKind.ReportResult]: {
		request: zod.object({
			grantId: zod.string(),
			nodeId: zod.string(),
			routeId: zod.string(),
			service: zod.string(),
			region: zod.string(),
			targetId: zod.string(),
			// The result of a newer version says nothing about the target here, but it frees the slot.
			result: withFallback(zod.enum(core.GrantResult), core.GrantResult.Cancelled),
			durationMs: zod.number(),
			targetNotices: targetNoticesSchema,
		}),
		reply: zod.object({}),
	},
	[core.FleetMessageKind.PullRegistry]: {
		request: zod.object({
			fromOffsets: zod.record(zod.enum(core.RegistryTopic), zod.int()),
			fromEras: zod.record(zod.enum(core.RegistryTopic), eraSchema).optional(),
			storeEra: eraSchema.optional(),
			waitMs: zod.number().nonnegative().max(30_000),
		}),
		reply: zod.object({
			topics: zod.object({
				[core.RegistryTopic.Catalogue]: buildTopicChangesSchema(buildRecordSchema(catalogueTextSchema)),
				[core.RegistryTopic.Targets]: buildTopicChangesSchema(buildTolerantRecordSchema(targetSchema)),
				[core.RegistryTopic.Nodes]: buildTopicChangesSchema(buildTolerantRecordSchema(nodeSchema)),
			}),
			isStale: zod.boolean(),
			// Earlier versions do not send their role.
			role: zod.enum(core.RegistryRole).default(core.RegistryRole.Reader),
			topicAgesMs: zod.record(zod.enum(core.RegistryTopic), zod.number()),
			storeAnswers: zod.object({ageMs: zod.number(), runMs: zod.number().nonnegative()}).optional(),
			storeEra: zod.object({era: eraSchema, ageMs: zod.number().nonnegative()}).optional(),
		}) as zod.ZodType<core.PullRegistryReply>,
	},
	...QUOTA_MESSAGE_SCHEMAS,
};

const encodePullRegistryReply = (reply: core.PullRegistryReply): unknown => {
	const {catalogue} = reply.topics;
	const records = catalogue.records.map(record => ({
		...record,
		value: record.value && encodeCatalogue(record.value),
	}));
	return {...reply, topics: {...reply.topics, [core.RegistryTopic.Catalogue]: {...catalogue, records}}};
};

type ReplyEncoders = {
	readonly [Kind in core.FleetMessageKind]: (reply: core.FleetMessages[Kind]['reply']) => unknown;
};

/** Converts each reply to the form that its schema decodes. */
export const FLEET_REPLY_ENCODERS: ReplyEncoders = {
	[core.FleetMessageKind.AcquireGrant]: reply =>
		reply.isGranted && reply.usualDurationMs !== undefined
			? {...reply, usualDurationMs: Math.round(reply.usualDurationMs)}
			: reply,
	[core.FleetMessageKind.ReportResult]: reply => reply,
	[core.FleetMessageKind.PullRegistry]: encodePullRegistryReply,
	[core.FleetMessageKind.LeaseQuota]: reply => reply,
	[core.FleetMessageKind.ClaimQuotaShares]: reply => reply,
};

type RequestEncoders = {
	readonly [Kind in core.FleetMessageKind]: (request: core.FleetMessages[Kind]['request']) => unknown;
};

/** Fields that receivers of every version complete with the same value, and which most requests have. */
const omitDefaults = (request: Pick<core.ReportResultRequest, 'targetNotices'>): Record<string, unknown> => ({
	...request,
	targetNotices: request.targetNotices.length === 0 ? undefined : request.targetNotices,
});

/** Converts each request to the form that its schema decodes. Bytes between regions are paid for, so defaults are left out. */
export const FLEET_REQUEST_ENCODERS: RequestEncoders = {
	[core.FleetMessageKind.AcquireGrant]: request => ({
		...omitDefaults(request),
		isNewCall: request.isNewCall || undefined,
	}),
	[core.FleetMessageKind.ReportResult]: request => omitDefaults(request),
	[core.FleetMessageKind.PullRegistry]: request => request,
	[core.FleetMessageKind.LeaseQuota]: request => request,
	[core.FleetMessageKind.ClaimQuotaShares]: request => request,
};

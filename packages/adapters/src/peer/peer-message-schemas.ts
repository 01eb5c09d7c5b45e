import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';
import {catalogueRecordSchema, catalogueSnapshotSchema} from '../settings/catalogue-record-schema.js';

const shortText = zod.string().max(128);
const detailText = zod.string().max(1024).optional();

export const incarnationSchema = zod.object({vmId: shortText, address: shortText, incarnationId: shortText});

const nodeSchema = zod.object({
	...incarnationSchema.shape,
	region: shortText,
	availabilityZone: shortText,
	operationsAddress: shortText,
});

const updatesSchema = zod
	.array(
		zod.object({
			node: nodeSchema,
			state: zod.enum(domain.MemberState),
			refutationCount: zod.number().int().min(0),
		}),
	)
	.max(64);

const offset = zod.number().int().min(-1);
const count = zod.number().int().min(0).max(10_000);
const empty = zod.strictObject({});

/** Bytes travel in base64. */
const bytesSchema = zod.codec(zod.base64(), zod.instanceof(Uint8Array), {
	decode: text => new Uint8Array(Buffer.from(text, 'base64')),
	encode: bytes => Buffer.from(bytes).toString('base64'),
});

const transferredOperationSchema = zod.object({
	serial: zod.number().int().min(0),
	service: shortText,
	workspace: shortText,
	fingerprint: shortText,
	state: zod.enum([domain.OperationState.Completed, domain.OperationState.NotRun, domain.OperationState.Unknown]),
	reason: zod.enum(domain.RefusalReason).optional(),
	detail: detailText,
	answer: zod
		.object({
			status: zod.number().int(),
			headers: zod.array(zod.tuple([zod.string(), zod.string()])),
			body: bytesSchema.optional(),
		})
		.optional(),
});

const takeOverRequestSchema = zod.object({
	from: incarnationSchema,
	senderId: shortText,
	batchIndex: count,
	batchCount: count.min(1),
	records: zod.array(transferredOperationSchema).max(1000),
	forgotten: zod.array(zod.object({service: shortText, untilMs: zod.number()})).max(100_000),
	remainingRetentionMs: zod.number().min(0),
});

/** Schemas of request and reply for each kind of control message. */
export const PEER_MESSAGE_SCHEMAS: {
	readonly [Kind in core.PeerMessageKind]: {
		readonly request: zod.ZodType<core.PeerMessages[Kind]['request']>;
		readonly reply: zod.ZodType<core.PeerMessages[Kind]['reply']>;
	};
} = {
	[core.PeerMessageKind.Probe]: {
		request: zod.object({sender: nodeSchema, appliedOffset: offset, updates: updatesSchema}),
		reply: zod.object({node: nodeSchema, appliedOffset: offset, updates: updatesSchema}),
	},
	[core.PeerMessageKind.IndirectProbe]: {
		request: zod.object({sender: nodeSchema, subject: nodeSchema, updates: updatesSchema}),
		reply: zod.object({isReached: zod.boolean(), updates: updatesSchema}),
	},
	[core.PeerMessageKind.PullRecords]: {
		request: zod.object({fromOffset: offset, limitCount: count, waitMs: zod.number().min(0).max(60_000)}),
		reply: zod.object({
			records: zod.array(zod.object({offset, record: catalogueRecordSchema})),
			appliedOffset: offset,
			isTruncated: zod.boolean(),
		}),
	},
	[core.PeerMessageKind.PullSnapshot]: {
		request: empty,
		reply: zod.object({snapshot: catalogueSnapshotSchema.optional()}),
	},
	[core.PeerMessageKind.MintOperations]: {
		request: zod.object({service: shortText, count: count.min(1).max(1000)}),
		reply: zod.object({operationIds: zod.array(zod.string().max(1024)), detail: detailText}),
	},
	[core.PeerMessageKind.ReadOperation]: {
		request: zod.object({operationId: zod.string().max(1024), workspace: shortText}),
		reply: zod.object({
			isAuthoritative: zod.boolean(),
			state: zod.enum(domain.OperationState).optional(),
			isExpired: zod.boolean(),
			reason: zod.enum(domain.RefusalReason).optional(),
			answerStatus: zod.number().int().optional(),
			detail: detailText,
		}),
	},
	[core.PeerMessageKind.TakeOverOperations]: {
		request: takeOverRequestSchema,
		reply: zod.object({isAccepted: zod.boolean(), isComplete: zod.boolean()}),
	},
	[core.PeerMessageKind.ReportLeavingTarget]: {
		request: zod.object({service: shortText, targetId: shortText}),
		reply: empty,
	},
	[core.PeerMessageKind.TestTarget]: {
		request: zod.object({service: shortText, targetId: shortText}),
		reply: zod.object({isReached: zod.boolean(), latencyMs: zod.number()}),
	},
};

/** Writes requests whose fields JSON cannot hold. Requests of the other kinds travel as they are. */
export const PEER_REQUEST_ENCODERS: {
	readonly [Kind in core.PeerMessageKind]?: (request: core.PeerMessages[Kind]['request']) => unknown;
} = {
	[core.PeerMessageKind.TakeOverOperations]: request =>
		zod.encode(takeOverRequestSchema, request as zod.output<typeof takeOverRequestSchema>),
};

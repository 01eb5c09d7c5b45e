import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';
import {catalogueRecordSchema, snapshotPartSchema} from '../settings/catalogue-record-schema.js';
import {
	indirectProbeReplyCodec,
	indirectProbeRequestCodec,
	probeReplyCodec,
	probeRequestCodec,
} from './probe-message-codecs.js';

const shortText = zod.string().max(128);
const detailText = zod.string().max(1024).optional();

export const incarnationSchema = zod.object({vmId: shortText, address: shortText, incarnationId: shortText});

/** Offset in the log; -1 before the first record. */
const offset = zod.number().int().min(-1);
const count = zod.number().int().min(0).max(10_000);
const empty = zod.strictObject({});

/** Encodes bytes as base64. */
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

/** Schemas of request and reply for each kind of control message. Decoding yields the type that the port declares. */
export const PEER_MESSAGE_SCHEMAS: {
	readonly [Kind in core.PeerMessageKind]: {
		readonly request: zod.ZodType<core.PeerMessages[Kind]['request']>;
		readonly reply: zod.ZodType<core.PeerMessages[Kind]['reply']>;
	};
} = {
	[core.PeerMessageKind.Probe]: {request: probeRequestCodec, reply: probeReplyCodec},
	[core.PeerMessageKind.IndirectProbe]: {request: indirectProbeRequestCodec, reply: indirectProbeReplyCodec},
	[core.PeerMessageKind.PullRecords]: {
		request: zod.object({fromOffset: offset, limitCount: count, waitMs: zod.number().min(0).max(60_000)}),
		reply: zod.object({
			records: zod.array(zod.object({offset, record: catalogueRecordSchema})),
			nextOffset: zod.number().int().min(0),
			appliedOffset: offset,
			isTruncated: zod.boolean(),
			freshness: zod.enum(core.RelayFreshness),
		}),
	},
	[core.PeerMessageKind.PullSnapshot]: {
		request: zod.object({
			partIndex: zod.number().int().min(0).max(100_000),
			snapshot: zod.object({offset, digest: shortText}).optional(),
		}),
		reply: zod.object({part: snapshotPartSchema.optional(), appliedOffset: offset}),
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

/** Encodes a message for the wire, without its envelope. Throws when it is malformed. */
export const encodePeerMessage = (kind: core.PeerMessageKind, content: unknown, isReply: boolean): unknown => {
	const schema: zod.ZodType = PEER_MESSAGE_SCHEMAS[kind][isReply ? 'reply' : 'request'];
	return zod.encode(schema, content);
};

import {Buffer} from 'node:buffer';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as tsPattern from 'ts-pattern';
import * as zod from 'zod';

const headerListSchema = zod.array(zod.tuple([zod.string(), zod.string()]));

/** Head of a forwarded call; the body follows as the HTTP request body. */
const forwardedHeadSchema = zod.object({
	purpose: zod.enum(core.ForwardPurpose),
	service: zod.string().max(63),
	groupId: zod.string().max(200),
	requiredIncarnationId: zod.string().max(64).optional(),
	remainingMs: zod.number(),
	remainingStartMs: zod.number().optional(),
	hasBody: zod.boolean(),
	call: zod.object({
		callId: zod.string().max(64),
		method: zod.string().max(16),
		path: zod.string(),
		query: zod.string(),
		headers: headerListSchema,
		workspace: zod.string().max(64),
		bodyLengthBytes: zod.number().int().min(0).optional(),
		deadlineMs: zod.number().optional(),
		operationId: zod.string().max(1024).optional(),
		idempotencyKey: zod.string().max(1024).optional(),
	}),
});

/** Head of an ending; the answer's body follows as the HTTP response body. */
const endingHeadSchema = zod.discriminatedUnion('outcome', [
	zod.object({
		outcome: zod.literal(domain.Outcome.Completed),
		status: zod.number().int(),
		headers: headerListSchema,
	}),
	zod.object({
		outcome: zod.literal(domain.Outcome.NotRun),
		reason: zod.enum(domain.RefusalReason),
		detail: zod.string(),
		retryAfterMs: zod.number().optional(),
		operationId: zod.string().optional(),
	}),
	zod.object({
		outcome: zod.literal(domain.Outcome.Unknown),
		reason: zod.enum(domain.RefusalReason),
		detail: zod.string(),
	}),
]);

/** Header that carries the head of a forwarded call. */
export const FORWARDED_CALL_HEADER = 'bilberrydoor-forwarded-call';
/** Header that carries the head of an ending. */
export const ENDING_HEADER = 'bilberrydoor-ending';

const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64url');

const decode = (text: string): unknown => {
	try {
		return JSON.parse(Buffer.from(text, 'base64url').toString());
	} catch {
		return undefined;
	}
};

export const encodeForwardedCall = (forwarded: core.ForwardedCall): string => {
	const {body, ...call} = forwarded.call;
	return encode({...forwarded, hasBody: body !== undefined, call});
};

/** Decodes the head of a forwarded call; undefined when it is malformed. */
export const decodeForwardedCall = (text: string, body: domain.BodyStream): core.ForwardedCall | undefined => {
	const parsed = forwardedHeadSchema.safeParse(decode(text));
	if (!parsed.success) {
		return undefined;
	}

	const {hasBody, call, ...rest} = parsed.data;
	return {...rest, call: {...call, ...(hasBody && {body})}};
};

export const encodeEnding = (ending: domain.CallEnding): string =>
	encode(
		tsPattern
			.match(ending)
			.with({outcome: domain.Outcome.Completed}, ({outcome, answer: {status, headers}}) => ({outcome, status, headers}))
			.otherwise(refusal => refusal),
	);

/** Decodes the head of an ending; undefined when it is malformed. */
export const decodeEnding = (text: string, body: domain.BodyStream): domain.CallEnding | undefined => {
	const parsed = endingHeadSchema.safeParse(decode(text));
	if (!parsed.success) {
		return undefined;
	}

	return parsed.data.outcome === domain.Outcome.Completed
		? domain.completed({status: parsed.data.status, headers: parsed.data.headers, body})
		: parsed.data;
};

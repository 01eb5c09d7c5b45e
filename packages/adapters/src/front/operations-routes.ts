import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import type * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import * as zod from 'zod';
import type {NodeBindings} from '../http/http-listener.js';
import {parseWorkspace} from './read-call-request.js';
import {REFUSAL_STATUSES} from './refusal-statuses.js';

export type OperationsRoutesOptions = {
	readonly node: Pick<core.Node, 'operations' | 'findService'>;
};

/** Largest number of ids in one batch. */
const MINT_BATCH_LIMIT_COUNT = 100;
/** Largest request body for a batch in bytes. */
const MINT_REQUEST_LIMIT_BYTES = 4096;

const countSchema = zod.number().int().min(1).max(MINT_BATCH_LIMIT_COUNT).default(1);

const mintRequestSchema = zod.union(
	[
		zod.strictObject({service: zod.string().min(1).max(63), count: countSchema}),
		zod.strictObject({path: zod.string().startsWith('/').max(4096), method: zod.string().max(16), count: countSchema}),
	],
	{error: `must name a service, or a path and a method, and a count from 1 to ${MINT_BATCH_LIMIT_COUNT}`},
);

const OUTCOMES: Record<domain.OperationState, domain.Outcome | undefined> = {
	[domain.OperationState.Queued]: undefined,
	[domain.OperationState.Dispatched]: undefined,
	[domain.OperationState.Completed]: domain.Outcome.Completed,
	[domain.OperationState.NotRun]: domain.Outcome.NotRun,
	[domain.OperationState.Unknown]: domain.Outcome.Unknown,
};

const readJson = async (context: hono.Context): Promise<unknown> => {
	try {
		return await context.req.json();
	} catch {
		return undefined;
	}
};

const buildFailureResponse = (reason: domain.RefusalReason, detail: string) =>
	[
		{outcome: domain.Outcome.Unknown, reason, detail},
		REFUSAL_STATUSES[reason] as 400,
		{'bilberrydoor-outcome': domain.Outcome.Unknown, 'bilberrydoor-reason': reason},
	] as const;

/** Adds the routes that mint operation ids and report the state of an operation. */
export const addOperationsRoutes = (app: hono.Hono<NodeBindings>, options: OperationsRoutesOptions): void => {
	const {operations, findService} = options.node;
	app.post('/-/operations', honoBodyLimit.bodyLimit({maxSize: MINT_REQUEST_LIMIT_BYTES}), async context => {
		const request = mintRequestSchema.safeParse(await readJson(context));
		if (!request.success) {
			return context.json({reason: domain.RefusalReason.BadRequest, detail: zod.prettifyError(request.error)}, 400);
		}

		const {data} = request;
		const service = 'service' in data ? data.service : findService(data.method, data.path);
		if (service === undefined) {
			return context.json({reason: domain.RefusalReason.UnknownRoute, detail: 'no route accepts the request'}, 404);
		}

		const minted = await operations.mintOperations(service, data.count, context.req.raw.signal);
		return minted.match(
			operationIds => context.json({service, operationIds}, 201),
			detail => {
				const reason = domain.RefusalReason.ExecutorUnreachable;
				return context.json({reason, detail}, 503, {'bilberrydoor-reason': reason, 'retry-after': '1'});
			},
		);
	});
	app.get('/-/operations/:operationId', async context => {
		const operationId = context.req.param('operationId');
		const workspace = parseWorkspace(context.req.header('bilberrydoor-workspace'));
		if (workspace.isErr()) {
			return context.json(...buildFailureResponse(domain.RefusalReason.BadRequest, workspace.error));
		}

		const read = await operations.readOperation(operationId, workspace.value, context.req.raw.signal);
		if (read.isErr()) {
			return context.json(...buildFailureResponse(read.error.reason, read.error.detail));
		}

		const {state, isExpired, reason, answerStatus, detail} = read.value;
		const operationStatus = {
			operationId,
			state,
			isExpired,
			outcome: state && OUTCOMES[state],
			reason,
			answerStatus,
			detail,
		};
		return state === undefined
			? context.json({...operationStatus, detail: 'the workspace has no record under this operation id'}, 404)
			: context.json(operationStatus);
	});
};

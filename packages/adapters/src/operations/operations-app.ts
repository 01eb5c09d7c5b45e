import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import type * as core from '@bilberrydoor/core';
import * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import type * as prometheus from 'prom-client';
import * as zod from 'zod';
import type {NodeBindings} from '../http/http-listener.js';
import {catalogueEntrySchema} from '../settings/catalogue-entry-schema.js';

/** An operator with the SHA-256 of the bearer token, in hexadecimal. */
export type OperatorAccount = core.Operator & {readonly tokenSha256: string};

export type OperationsAppOptions = {
	readonly node: Pick<core.Node, 'isReady' | 'administration'>;
	readonly registry: prometheus.Registry;
	readonly operators: readonly OperatorAccount[];
};

type OperationsBindings = NodeBindings & {Variables: {operator: OperatorAccount}};

/** Largest administration request in bytes. */
const ADMINISTRATION_LIMIT_BYTES = 4 * 1024 * 1024;

const editRequestSchema = zod.strictObject({
	editId: zod.string().min(1).max(64),
	service: zod.string().min(1).max(63),
	baseRevision: zod.number().int().min(0),
	entry: catalogueEntrySchema.optional(),
});

const findOperator = (
	operators: readonly OperatorAccount[],
	authorization: string | undefined,
): OperatorAccount | undefined => {
	const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? '';
	const digest = crypto.createHash('sha256').update(token).digest();
	return operators.find(operator => crypto.timingSafeEqual(digest, Buffer.from(operator.tokenSha256, 'hex')));
};

const addAdministrationRoutes = (app: hono.Hono<OperationsBindings>, options: OperationsAppOptions): void => {
	const {administration} = options.node;
	app.use('/-/admin/*', honoBodyLimit.bodyLimit({maxSize: ADMINISTRATION_LIMIT_BYTES}), async (context, next) => {
		const operator = findOperator(options.operators, context.req.header('authorization'));
		if (!operator) {
			return context.json({error: 'the bearer token is missing or belongs to no operator in the settings'}, 401);
		}

		context.set('operator', operator);
		return next();
	});
	app.post('/-/admin/edits', async context => {
		const request = editRequestSchema.safeParse(await context.req.json());
		if (!request.success) {
			return context.json({error: zod.prettifyError(request.error)}, 400);
		}

		const report = await administration.submitEdit(context.get('operator'), request.data, context.req.raw.signal);
		return context.json(report);
	});
	app.get('/-/admin/entries', context => context.json({items: administration.listItems()}));
	app.get('/-/admin/entries/:service', context => {
		const item = administration.findItem(context.req.param('service'));
		return item ? context.json(item) : context.json({error: `no entry for ${context.req.param('service')}`}, 404);
	});
	app.get('/-/admin/targets', context => context.json({targets: administration.listTargets()}));
	app.get('/-/admin/fleet', context => context.json(administration.describeFleet()));
};

/** The listener for operators: health, metrics and administration. */
export const createOperationsApp = (options: OperationsAppOptions): hono.Hono<OperationsBindings> => {
	const app = new hono.Hono<OperationsBindings>();
	app.get('/-/healthz', context => context.json({status: 'running'}));
	app.get('/-/readyz', context =>
		options.node.isReady() ? context.json({status: 'ready'}) : context.json({status: 'not ready'}, 503),
	);
	app.get('/-/metrics', async context =>
		context.text(await options.registry.metrics(), 200, {'content-type': options.registry.contentType}),
	);
	addAdministrationRoutes(app, options);
	return app;
};

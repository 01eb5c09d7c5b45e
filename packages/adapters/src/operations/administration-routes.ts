import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import type * as hono from 'hono';
import * as honoBodyLimit from 'hono/body-limit';
import * as zod from 'zod';
import type {NodeBindings} from '../http/http-listener.js';
import {catalogueEntrySchema} from '../settings/catalogue-entry-schema.js';
import {findOperator, type OperatorAccount} from './operator-accounts.js';

export type OperationsBindings = NodeBindings & {Variables: {operator: OperatorAccount}};

/** Largest administration request in bytes. */
const ADMINISTRATION_REQUEST_LIMIT_BYTES = 4 * 1024 * 1024;

const editRequestSchema = zod.strictObject({
	editId: zod.string().regex(/^[\w.-]{1,64}$/, 'must be 1 to 64 letters, digits, dots, hyphens and underscores'),
	service: zod.string().min(1).max(63),
	baseRevision: zod.number().int().min(0),
	entry: catalogueEntrySchema.optional(),
});

type RefusalStatus = 400 | 403 | 409 | 413 | 503;

/** HTTP status of each refusal. The response body is the edit report. */
const REFUSAL_STATUSES: Record<core.EditRefusal, RefusalStatus> = {
	[core.EditRefusal.NotOwner]: 403,
	[core.EditRefusal.ServiceMismatch]: 400,
	[core.EditRefusal.StaleRevision]: 409,
	[core.EditRefusal.UnknownRevision]: 503,
	[core.EditRefusal.NothingToRemove]: 409,
	[core.EditRefusal.EditIdReused]: 409,
	[core.EditRefusal.TooLarge]: 413,
	[core.EditRefusal.NotReady]: 503,
	[core.EditRefusal.LogUnavailable]: 503,
};

const readJson = async (request: hono.HonoRequest): Promise<unknown> => {
	try {
		return await request.json();
	} catch {
		return undefined;
	}
};

type App = hono.Hono<OperationsBindings>;

const addEditRoutes = (app: App, administration: core.Administration): void => {
	app.post('/-/admin/edits', async context => {
		const request = editRequestSchema.safeParse(await readJson(context.req));
		if (!request.success) {
			return context.json({error: zod.prettifyError(request.error)}, 400);
		}

		const report = await administration.submitEdit(context.get('operator'), request.data, context.req.raw.signal);
		return context.json(report, report.refusal === undefined ? 200 : REFUSAL_STATUSES[report.refusal]);
	});
	app.get('/-/admin/edits/:editId', context => context.json(administration.readEdit(context.req.param('editId'))));
};

const addEntryRoutes = (app: App, administration: core.Administration): void => {
	app.get('/-/admin/entries', context => context.json({items: administration.listItems()}));
	app.get('/-/admin/entries/:service', context => {
		const service = context.req.param('service');
		const item = administration.findItem(service);
		return item ? context.json(item) : context.json({error: `no entry for service ${service}`}, 404);
	});
	app.get('/-/admin/entries/:service/history', context => {
		const service = context.req.param('service');
		const revisions = administration.listHistory(service);
		return revisions.length > 0
			? context.json({revisions})
			: context.json({error: `no entry for service ${service}`}, 404);
	});
	app.get('/-/admin/entries/:service/revisions/:revision', context => {
		const {service, revision} = context.req.param();
		const item = administration.findRevision(service, Number(revision));
		return item
			? context.json(item)
			: context.json({error: `this node holds no content of revision ${revision} of service ${service}`}, 404);
	});
};

const EXPLAIN_STATUSES: Partial<Record<domain.RefusalReason, 404 | 405>> = {
	[domain.RefusalReason.UnknownRoute]: 404,
	[domain.RefusalReason.MethodNotAllowed]: 405,
};

const addStatusRoutes = (app: App, administration: core.Administration): void => {
	app.get('/-/admin/services', context => context.json({services: administration.listServices()}));
	app.get('/-/admin/targets', context => context.json({targets: administration.listTargets()}));
	app.get('/-/admin/fleet', async context => context.json(await administration.describeFleet(context.req.raw.signal)));
	app.get('/-/admin/explain', context => {
		const method = context.req.query('method') ?? 'GET';
		const path = context.req.query('path') ?? '/';
		return administration.explainRoute(method, path).match(
			explanation => context.json(explanation),
			reason =>
				context.json({error: `a call of ${method} ${path} is refused: ${reason}`, reason}, EXPLAIN_STATUSES[reason]),
		);
	});
	app.get('/-/admin/operations/:operationId', async context => {
		const workspace = context.req.query('workspace') ?? '';
		const {signal} = context.req.raw;
		const view = await administration.readOperation(context.req.param('operationId'), workspace, signal);
		return view.reason === domain.RefusalReason.OperationIdInvalid
			? context.json({error: view.detail ?? 'the operation id is invalid'}, 404)
			: context.json(view);
	});
};

/** Paths whose answers would be wrong while the node has no catalogue. */
const CATALOGUE_PATHS = ['/-/admin/entries', '/-/admin/entries/*', '/-/admin/services', '/-/admin/explain'];

/** Adds the routes for operators. All of them require the bearer token of an operator in the settings. */
export const addAdministrationRoutes = (
	app: App,
	options: {node: Pick<core.Node, 'isCatalogueReady' | 'administration'>; operators: readonly OperatorAccount[]},
): void => {
	const {node} = options;
	app.use(
		'/-/admin/*',
		honoBodyLimit.bodyLimit({maxSize: ADMINISTRATION_REQUEST_LIMIT_BYTES}),
		async (context, next) => {
			const operator = findOperator(options.operators, context.req.header('authorization'));
			if (!operator) {
				return context.json({error: 'the bearer token is missing or belongs to no operator in the settings'}, 401);
			}

			context.set('operator', operator);
			return next();
		},
	);
	// A node without a catalogue would answer that there is no entry, and the operator would base an edit on revision 0.
	CATALOGUE_PATHS.forEach(path => {
		app.use(path, async (context, next) =>
			node.isCatalogueReady()
				? next()
				: context.json({error: 'this node has no catalogue yet; ask another node or wait until it is ready'}, 503),
		);
	});
	addEditRoutes(app, node.administration);
	addEntryRoutes(app, node.administration);
	addStatusRoutes(app, node.administration);
};

import type * as core from '@bilberrydoor/core';
import * as hono from 'hono';
import type * as prometheus from 'prom-client';
import {addAdministrationRoutes, type OperationsBindings} from './administration-routes.js';
import type {OperatorAccount} from './operator-accounts.js';

export type OperationsAppOptions = {
	readonly node: Pick<core.Node, 'isReady' | 'isCatalogueReady' | 'administration'>;
	readonly registry: prometheus.Registry;
	readonly operators: readonly OperatorAccount[];
};

/** Creates the HTTP application for operators: health, metrics and administration. */
export const createOperationsApp = (options: OperationsAppOptions): hono.Hono<OperationsBindings> => {
	const app = new hono.Hono<OperationsBindings>();
	app.get('/-/healthz', context => context.json({status: 'running'}));
	app.get('/-/readyz', context =>
		options.node.isReady() ? context.json({status: 'ready'}) : context.json({status: 'not ready'}, 503),
	);
	app.get('/-/metrics', async context =>
		context.text(await options.registry.metrics(), 200, {'content-type': options.registry.contentType}),
	);
	addAdministrationRoutes(app, {node: options.node, operators: options.operators});
	return app;
};

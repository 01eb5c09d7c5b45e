import * as hono from 'hono';
import type * as prometheus from 'prom-client';
import type {NodeBindings} from '../http/http-listener.js';

/** Creates the application that serves the metrics in the Prometheus text format. */
export const createMetricsApp = (path: string, registry: prometheus.Registry): hono.Hono<NodeBindings> =>
	new hono.Hono<NodeBindings>().get(path, async context =>
		context.text(await registry.metrics(), 200, {'content-type': registry.contentType}),
	);

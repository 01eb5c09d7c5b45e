import * as hono from 'hono';
import type * as prometheus from 'prom-client';
import type {NodeBindings} from '../http/http-listener.js';

/** The listener that serves counters and histograms as text. */
export const createMetricsApp = (path: string, registry: prometheus.Registry): hono.Hono<NodeBindings> =>
	new hono.Hono<NodeBindings>().get(path, async context =>
		context.text(await registry.metrics(), 200, {'content-type': registry.contentType}),
	);

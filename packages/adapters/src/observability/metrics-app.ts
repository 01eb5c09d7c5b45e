import * as hono from 'hono';
import type * as prometheus from 'prom-client';
import type {NodeBindings} from '../http/http-listener.js';

/** Reports for operators by path; each is served as JSON. */
export type OperatorReports = Readonly<Record<string, () => Record<string, unknown>>>;

/** Creates the application that serves the metrics in the Prometheus text format, and reports for operators. */
export const createMetricsApp = (
	path: string,
	registry: prometheus.Registry,
	reports: OperatorReports = {},
): hono.Hono<NodeBindings> => {
	const app = new hono.Hono<NodeBindings>().get(path, async context =>
		context.text(await registry.metrics(), 200, {'content-type': registry.contentType}),
	);
	Object.entries(reports).forEach(([reportPath, buildReport]) => {
		app.get(reportPath, context => context.json(buildReport()));
	});
	return app;
};

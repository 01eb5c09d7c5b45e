import * as hono from 'hono';
import type {NodeBindings} from '../http/http-listener.js';

export type ReadinessAppOptions = {
	/** Path that the load balancer asks. */
	readonly path: string;
	readonly isReady: () => boolean;
};

/** The listener that tells the load balancer whether to send callers here. */
export const createReadinessApp = (options: ReadinessAppOptions): hono.Hono<NodeBindings> =>
	new hono.Hono<NodeBindings>().get(options.path, context => context.body(null, options.isReady() ? 200 : 503));

import * as hono from 'hono';
import type {NodeBindings} from '../http/http-listener.js';

export type ReadinessAppOptions = {
	/** Path of the load balancer's health check. */
	readonly path: string;
	readonly isReady: () => boolean;
};

/** Creates the application for the load balancer's health check: 200 while the node may receive calls, otherwise 503. */
export const createReadinessApp = (options: ReadinessAppOptions): hono.Hono<NodeBindings> =>
	new hono.Hono<NodeBindings>().get(options.path, context => context.body(null, options.isReady() ? 200 : 503));

import type * as core from '@bilberrydoor/core';
import type * as hono from 'hono';
import * as zod from 'zod';
import type {NodeBindings} from '../http/http-listener.js';

const querySchema = zod
	.object({
		host: zod.string().min(1),
		path: zod.string().startsWith('/'),
		workspace: zod.string().min(1).optional(),
		bodyBytes: zod.coerce.number().int().nonnegative().optional(),
		entryNode: zod.string().optional(),
		entryRegion: zod.string().default(''),
		entryZone: zod.string().default(''),
	})
	.transform(
		({entryNode, entryRegion, entryZone, ...request}): core.ExplainedRequest => ({
			...request,
			entryNode:
				entryNode === undefined ? undefined : {nodeId: entryNode, region: entryRegion, availabilityZone: entryZone},
		}),
	);

/**
 * Adds the explanation of a request to an application. Query: `host`, `path`, and if wanted `workspace`, `bodyBytes`, and the place
 * of another node at which the request arrives (`entryNode`, `entryRegion`, `entryZone`).
 */
export const addCallExplanation = (
	app: hono.Hono<NodeBindings>,
	path: string,
	explainCall: core.CallExplainer,
): hono.Hono<NodeBindings> =>
	app.get(path, context => {
		const query = querySchema.safeParse(context.req.query());
		return query.success
			? context.json(explainCall(query.data))
			: context.json(
					{error: query.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')},
					400,
				);
	});

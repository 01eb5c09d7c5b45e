import type * as adapters from '@bilberrydoor/adapters';
import * as hono from 'hono';
import * as honoEtag from 'hono/etag';

/** One VM of the list. */
export type ListedVm = {
	readonly vmId: string;
	readonly address: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly isFleetNode: boolean;
	readonly isLeaving: boolean;
};

/** Stand-in for the platform's VM list. `PUT /vms` replaces the list. */
export const createVmListApp = (initial: readonly ListedVm[] = []): hono.Hono<adapters.NodeBindings> => {
	const app = new hono.Hono<adapters.NodeBindings>();
	let vms = initial;
	app.get('/vms', honoEtag.etag(), context => context.json({vms}));
	app.put('/vms', async context => {
		const body = await context.req.json<{vms: ListedVm[]}>();
		vms = body.vms;
		return context.json({count: vms.length});
	});
	return app;
};

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

/** Faults of the VM list. */
export enum VmListFault {
	None = 'none',
	/** Answers 503 to every read. */
	Down = 'down',
	/** Keeps returning the list as it was when the fault was set. */
	Lagging = 'lagging',
	/** Returns an empty list. */
	Empty = 'empty',
}

/** Stand-in for the platform's VM list. `PUT /vms` replaces the list, `PUT /fault/<fault>` sets a fault. */
export const createVmListApp = (initial: readonly ListedVm[] = []): hono.Hono<adapters.NodeBindings> => {
	const app = new hono.Hono<adapters.NodeBindings>();
	let vms = initial;
	let laggingVms = initial;
	let fault = VmListFault.None;
	const visibleVms: Record<VmListFault, () => readonly ListedVm[] | undefined> = {
		[VmListFault.None]: () => vms,
		[VmListFault.Down]: () => undefined,
		[VmListFault.Lagging]: () => laggingVms,
		[VmListFault.Empty]: () => [],
	};
	app.put('/fault/:fault', context => {
		fault = context.req.param('fault') as VmListFault;
		laggingVms = vms;
		return context.json({fault});
	});
	app.get('/vms', honoEtag.etag(), context => {
		const visible = visibleVms[fault]();
		return visible ? context.json({vms: visible}) : context.json({error: 'unavailable'}, 503);
	});
	app.put('/vms', async context => {
		const body = await context.req.json<{vms: ListedVm[]}>();
		vms = body.vms;
		return context.json({count: vms.length});
	});
	return app;
};

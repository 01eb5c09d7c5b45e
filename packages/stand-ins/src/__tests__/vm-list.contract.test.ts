import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';
import * as undici from 'undici';
import {createVmListApp, VmListFault} from '../vm-list/vm-list-app.js';

type Harness = {
	readonly vmList: core.VmList;
	replace(items: readonly core.VmListItem[]): Promise<void>;
	setFault(fault: VmListFault): Promise<void>;
	close(): Promise<void>;
};

const startHttpHarness = async (): Promise<Harness> => {
	const listener = await adapters.startHttpListener(createVmListApp(), {});
	const url = `http://${listener.address}`;
	const put = async (path: string, body: unknown): Promise<void> => {
		const headers = {'content-type': 'application/json'};
		const reply = await undici.request(url + path, {method: 'PUT', headers, body: JSON.stringify(body)});
		await reply.body.dump();
	};

	return {
		vmList: adapters.createHttpVmList({url}),
		replace: async vms => put('/vms', {vms}),
		setFault: async fault => put(`/fault/${fault}`, {}),
		async close() {
			listener.destroy();
			await listener.close();
		},
	};
};

const startFakeHarness = async (): Promise<Harness> => {
	const clock = fakes.createVirtualClock();
	const vmList = fakes.createFakeVmList(clock);
	const faults: Record<VmListFault, () => void> = {
		[VmListFault.None]() {
			vmList.lagMs = 0;
		},
		[VmListFault.Down]() {
			vmList.isDown = true;
		},
		[VmListFault.Lagging]() {
			vmList.lagMs = 1;
		},
		[VmListFault.Empty]() {
			vmList.replace([]);
		},
	};
	return {
		vmList,
		async replace(items) {
			await clock.advance(10);
			vmList.replace(items);
		},
		async setFault(fault) {
			faults[fault]();
		},
		async close() {
			vmList.isDown = false;
		},
	};
};

const HARNESSES = [
	{harnessName: 'HTTP adapter and stand-in', start: startHttpHarness},
	{harnessName: 'fake', start: startFakeHarness},
];

const buildItem = (vmId: string, isLeaving: boolean): core.VmListItem => ({
	vmId,
	address: '127.0.0.1:1',
	region: 'pwani',
	availabilityZone: 'kinondoni',
	isFleetNode: true,
	isLeaving,
});

/** What a reader sees when the list changes from `before` to `after` under a fault; undefined for an error. */
const FAULTS: ReadonlyArray<{fault: VmListFault; expected: readonly core.VmListItem[] | undefined}> = [
	{fault: VmListFault.None, expected: [buildItem('after', true)]},
	{fault: VmListFault.Down, expected: undefined},
	{fault: VmListFault.Lagging, expected: [buildItem('before', false)]},
];

HARNESSES.forEach(({harnessName, start}) => {
	// Guards against a client that treats a failure as an empty list, or an outdated list as a failure.
	FAULTS.forEach(({fault, expected}) => {
		test(`VM list, ${harnessName}, fault ${fault}`, async t => {
			const harness = await start();
			await harness.replace([buildItem('before', false)]);
			await harness.setFault(fault);
			await harness.replace([buildItem('after', true)]);
			const reply = await harness.vmList.list();
			t.deepEqual(reply.isOk() ? reply.value : undefined, expected);
			await harness.close();
		});
	});

	test(`VM list, ${harnessName}, fault empty`, async t => {
		const harness = await start();
		await harness.replace([buildItem('before', false)]);
		await harness.setFault(VmListFault.Empty);
		const reply = await harness.vmList.list();
		t.deepEqual(reply._unsafeUnwrap(), []);
		await harness.close();
	});
});

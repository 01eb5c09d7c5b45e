import * as adapters from '@bilberrydoor/adapters';
import test from 'ava';
import * as undici from 'undici';
import {createVmListApp, type ListedVm} from '../vm-list/vm-list-app.js';

const VM: ListedVm = {
	vmId: 'vm-1',
	address: '127.0.0.1:1',
	region: 'pwani',
	availabilityZone: 'temeke',
	isFleetNode: true,
	isLeaving: false,
};

// Guards against a list that is sent in full for every read, and against a change that a cached copy hides.
test('an unchanged VM list is not sent again, and a changed one is returned by the next read', async t => {
	const listener = await adapters.startHttpListener(createVmListApp([VM]), {});
	const vmList = adapters.createHttpVmList({url: `http://${listener.address}`});
	const read = async () => {
		const reply = await vmList.list();
		return reply._unsafeUnwrap();
	};

	const first = await read();
	t.deepEqual(first, [VM]);
	t.is(await read(), first);
	const changed = [{...VM, isLeaving: true}];
	await undici.request(`http://${listener.address}/vms`, {method: 'PUT', body: JSON.stringify({vms: changed})});
	t.deepEqual(await read(), changed);
	listener.destroy();
	await listener.close();
	const failed = await vmList.list();
	t.true(failed.isErr());
});

import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as adapters from '@bilberrydoor/adapters';
import type * as platform from '@bilberrydoor/platform';
import test, {type ExecutionContext} from 'ava';
import {createReloadRequests} from '../reload-requests.js';
import {createSettingsWatch} from '../watch-settings-file.js';

const buildText = (graceS: number): string =>
	JSON.stringify({
		node: 'node-0',
		ip: '127.0.0.1',
		zone: 'kinondoni',
		region: 'pwani',
		zones: {kinondoni: 'pwani'},
		listen: {front: '127.0.0.1:1', ready: '127.0.0.1:2'},
		internal_ports: [1],
		bounds: [`grace_s=${graceS}`],
		platform: {address: '127.0.0.1:3'},
	});

const ignore = (): void => undefined;

const createHarness = async (t: ExecutionContext) => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'bilberryd-settings-'));
	t.teardown(async () => fs.rm(folder, {recursive: true}));
	const fileName = path.join(folder, 'boot.yaml');
	await fs.writeFile(fileName, buildText(6));
	const adopted: number[] = [];
	const watch = createSettingsWatch({
		fileName,
		text: buildText(6),
		reloadRequests: createReloadRequests(adapters.createSystemClock()),
		logger: {debug: ignore, info: ignore, warn: ignore, error: ignore},
		adopt(settings: platform.PlatformSettings) {
			adopted.push(settings.graceMs);
		},
	});
	return {fileName, watch, adopted};
};

// Guards against a change that is missed because it came before the watch stood, whether a signal announced it or not.
test('a change between the load of the settings and the first check is adopted', async t => {
	const {fileName, watch, adopted} = await createHarness(t);
	await fs.writeFile(fileName, buildText(10));
	const controller = new AbortController();
	const running = watch.run(controller.signal);
	await watch.check();
	controller.abort();
	await running;
	t.deepEqual(adopted, [10_000]);
});

// Guards against the second of two changes being missed, since the file has the same modification time after both.
test('two changes with the same modification time are both adopted', async t => {
	const {fileName, watch, adopted} = await createHarness(t);
	const time = new Date(1_800_000_000_000);
	for (const graceS of [10, 12]) {
		await fs.writeFile(fileName, buildText(graceS));
		await fs.utimes(fileName, time, time);
		await watch.check();
	}

	t.deepEqual(adopted, [10_000, 12_000]);
});

test('a file that is written again without a change, is invalid or is missing is not adopted', async t => {
	const {fileName, watch, adopted} = await createHarness(t);
	await fs.writeFile(fileName, buildText(6));
	await watch.check();
	await fs.writeFile(fileName, '{');
	await watch.check();
	await fs.rm(fileName);
	await watch.check();
	t.deepEqual(adopted, []);
	await fs.writeFile(fileName, buildText(8));
	await watch.check();
	t.deepEqual(adopted, [8000]);
});

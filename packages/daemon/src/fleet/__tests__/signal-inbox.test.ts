import * as childProcess from 'node:child_process';
import {once} from 'node:events';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timersPromises from 'node:timers/promises';
import * as platform from '@bilberrydoor/platform';
import test from 'ava';
import {createSignalInbox, ProcessSignal, SignalEffect, type ReceivedSignal} from '../signal-inbox.js';

const {HangUp, Interrupt, Terminate} = ProcessSignal;
const {Ignored, Reload, Stop} = SignalEffect;

const SERIES = [
	{signals: [Terminate, Terminate, HangUp, Interrupt], effects: [Stop, Ignored, Ignored, Ignored]},
	{signals: [HangUp, HangUp, Interrupt, Terminate], effects: [Reload, Reload, Stop, Ignored]},
	{signals: [Interrupt, HangUp, Terminate, Terminate], effects: [Stop, Ignored, Ignored, Ignored]},
];

// Guards against signals that change a stop that has begun, and against signals that are lost before the node listens to them.
SERIES.forEach(({signals, effects}) => {
	signals.forEach((_, earlyCount) => {
		test(`${signals.join(', ')}: ${earlyCount} of them before the node listens to signals`, async t => {
			const handlers = new Map<ProcessSignal, () => void>();
			const inbox = createSignalInbox({
				on(signal, handler) {
					handlers.set(signal, handler);
				},
			});
			const emit = (signal: ProcessSignal): void => {
				handlers.get(signal)?.();
			};

			const received: ReceivedSignal[] = [];
			signals.slice(0, earlyCount).forEach(emit);
			inbox.listen(signal => {
				received.push(signal);
			});
			signals.slice(earlyCount).forEach(emit);
			t.deepEqual(
				received,
				signals.map((signal, index) => ({signal, effect: effects[index]!})),
			);
			t.is(await inbox.stopRequested, signals[effects.indexOf(Stop)]!);
		});
	});
});

const SETTINGS = {
	node: 'node-0',
	ip: '127.0.0.1',
	zone: 'kinondoni',
	region: 'pwani',
	zones: {kinondoni: 'pwani'},
	listen: {front: '127.0.0.1:2', ready: '127.0.0.1:3', control: '127.0.0.1:4'},
	internal_ports: [1],
	platform: {address: '127.0.0.1:1'},
};

/** Time for the signals to arrive. */
const SIGNALS_MS = 50;

// Guards against signals that end the process while it starts.
test('signals that arrive before the settings are read do not end the process, and it does not begin to listen', async t => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'bilberryd-fleet-'));
	const file = path.join(folder, 'boot.yaml');
	childProcess.execFileSync('mkfifo', [file]);
	const child = childProcess.spawn(process.execPath, [path.resolve(import.meta.dirname, '../bilberryd-fleet.js')], {
		env: {...process.env, [platform.SETTINGS_FILE_VARIABLE]: file},
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	t.teardown(async () => {
		child.kill('SIGKILL');
		await fs.rm(folder, {recursive: true});
	});
	let output = '';
	child.stdout.on('data', chunk => {
		output += String(chunk);
	});
	const closed = once(child, 'close');
	// Opens the pipe as soon as the node reads its settings.
	const pipe = await fs.open(file, 'w');
	[HangUp, Terminate, Interrupt, Terminate].forEach(signal => {
		child.kill(signal);
	});
	await timersPromises.setTimeout(SIGNALS_MS);
	await pipe.write(JSON.stringify(SETTINGS));
	await pipe.close();
	t.deepEqual(await closed, [0, null]);
	const lines = output
		.split('\n')
		.filter(Boolean)
		.map(line => JSON.parse(line) as Record<string, unknown>);
	t.true(lines.some(({event, effect}) => event === 'signal-received' && effect === Stop));
	t.deepEqual(
		lines.filter(({event}) => event !== 'signal-received').map(({event}) => event),
		['node-stopped'],
	);
});

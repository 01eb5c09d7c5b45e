import * as net from 'node:net';
import {Worker} from 'node:worker_threads';
import type {ExecutionContext} from 'ava';

/** A target that listens and accepts no connection until it is told to. */
export type LateTarget = {
	readonly address: string;
	/** Everything that was received. */
	readonly receivedText: () => string;
	/** Fills the queue of connections that wait for being accepted, so that the packets of further ones are dropped. */
	fillQueue(): Promise<void>;
	accept(): void;
};

type Message = {readonly port?: number; readonly text?: string};

/** Linux keeps one waiting connection more than the given number. */
const BACKLOG = 1;

export const startLateTarget = async (t: ExecutionContext): Promise<LateTarget> => {
	const gate = new Int32Array(new SharedArrayBuffer(4));
	const worker = new Worker(new URL('late-target-worker.js', import.meta.url), {workerData: {gate, backlog: BACKLOG}});
	const sockets: net.Socket[] = [];
	let receivedText = '';
	const port = await new Promise<number>(resolve => {
		worker.on('message', (message: Message) => {
			receivedText += message.text ?? '';
			if (message.port !== undefined) {
				resolve(message.port);
			}
		});
	});
	const accept = (): void => {
		Atomics.store(gate, 0, 1);
		Atomics.notify(gate, 0);
	};

	t.teardown(async () => {
		accept();
		sockets.forEach(socket => socket.destroy());
		await worker.terminate();
	});
	return {
		address: `127.0.0.1:${port}`,
		receivedText: () => receivedText,
		async fillQueue() {
			const opened = Array.from({length: BACKLOG + 1}, async () => {
				const socket = net.connect(port, '127.0.0.1');
				sockets.push(socket);
				await new Promise(resolve => {
					socket.once('connect', resolve);
				});
			});
			await Promise.all(opened);
		},
		accept,
	};
};

import * as net from 'node:net';
import * as workerThreads from 'node:worker_threads';

const {gate, backlog} = workerThreads.workerData as {gate: Int32Array; backlog: number};

// Listens, but accepts nothing until the gate is opened: a blocked thread runs no callbacks.
const server = net.createServer(socket => {
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		workerThreads.parentPort!.postMessage({text: chunk.toString('latin1')});
	});
});
server.listen({port: 0, host: '127.0.0.1', backlog}, () => {
	workerThreads.parentPort!.postMessage({port: (server.address() as net.AddressInfo).port});
	setImmediate(() => {
		Atomics.wait(gate, 0, 0);
	});
});

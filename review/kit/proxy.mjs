// Proxy that can cut its connections.
import * as net from 'node:net';
import * as shared from './shared.mjs';

const {host} = shared;

/** Passes connections on to `address`, and can cut them: nothing passes then in either direction. */
export const startProxy = async address => {
	const [targetHost, targetPort] = address.split(':');
	const sockets = new Set();
	let isCut = false;
	const server = net.createServer(client => {
		if (isCut) {
			client.pause();
			client.on('error', () => undefined);
			sockets.add(client);
			return;
		}

		const target = net.connect(Number(targetPort), targetHost);
		[
			[client, target],
			[target, client],
		].forEach(([from, to]) => {
			sockets.add(from);
			from.on('data', chunk => {
				if (!isCut) {
					to.write(chunk);
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				sockets.delete(from);
				to.destroy();
			});
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		cut() {
			isCut = true;
		},
		/** Bytes that were held up are lost, so the connections of before and during the cut are reset. */
		heal() {
			isCut = false;
			[...sockets].forEach(socket => socket.resetAndDestroy());
			sockets.clear();
		},
	};
};

/* eslint-disable camelcase -- the names on the platform's wire */
import net from 'node:net';
import {startGateway} from './gateway.mjs';
import {startStore} from './store.mjs';
import {MessageReader} from './wire.mjs';

/** A loopback address for this run alone. */
export const pickHost = () => `127.${[0, 0, 0].map(() => 1 + Math.floor(Math.random() * 250)).join('.')}`;

const HEARTBEAT_MS = 1500;

/**
 * Starts an upstream that registers itself in the store. `handle` gets each request with its head and answers it; the
 * connection ends when it returns false.
 */
export const startUpstream = async ({host, store, service, id, handle, slots = 4}) => {
	const sockets = new Set();
	const server = net.createServer({noDelay: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		const reader = new MessageReader(socket);
		const serve = async () => {
			for (;;) {
				const head = await reader.readHead();
				if (!head || (await handle({head, reader, socket, id})) === false) {
					break;
				}
			}

			socket.end();
		};

		serve();
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const address = `${host}:${server.address().port}`;
	const born = Date.now();
	let seq = 0;
	const beat = state => {
		store.write('keyed.servers', id, {
			address,
			born,
			info: {service, version: 'v1', zone: 'kinondoni', slots},
			status: {state, seq: seq++, warmup_left_s: 0},
		});
	};

	beat('ready');
	const timer = setInterval(beat, HEARTBEAT_MS, 'ready');
	return {
		id,
		address,
		sockets,
		close() {
			clearInterval(timer);
			sockets.forEach(socket => {
				socket.destroy();
			});
			server.close();
		},
	};
};

export const buildRule = (name, kind, pathPrefix, action) => ({
	name,
	kind,
	target_latency_s: 1.2,
	priority: 1,
	match: {path_prefix: pathPrefix},
	action: {timeout_s: 4, max_attempts: 2, ...action},
});

export const buildConfig = (version, rules, services) => ({
	version: `r${version}`,
	limits: {max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15},
	listeners: [{host: 'hulo84.example', route_rules: rules}],
	clusters: services.map(name => ({name, health_path: '/health', max_connections: 390, protocol: 'h1', tls: false})),
});

/** Starts a store with a configuration, upstreams and one gateway. */
export const startDeployment = async ({rules, services, upstreams, memoryMb, logFile}) => {
	const host = pickHost();
	const store = await startStore(host);
	store.write('keyed.op', 'config', buildConfig(7, rules, services));
	const started = [];
	for (const upstream of upstreams) {
		started.push(await startUpstream({host, store, ...upstream}));
	}

	const gateway = await startGateway({host, storeAddress: store.address, memoryMb, logFile});
	return {
		host,
		store,
		upstreams: started,
		gateway,
		async stop() {
			await gateway.stop();
			started.forEach(upstream => {
				upstream.close();
			});
			store.close();
		},
	};
};

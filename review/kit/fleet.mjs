// Starts nodes with the command of the deploy file, the store, and what the operator and the upstreams write to it.
/* eslint-disable camelcase -- the names of the platform's records and settings */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as shared from './shared.mjs';
import {startStore} from './store.mjs';

const {host, sleep} = shared;
const root = path.resolve(import.meta.dirname, '../..');
const zone = 'kinondoni';
const region = 'pwani';

const canListen = async port =>
	new Promise(resolve => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});

/** The ports are below the range from which the system picks ports for other sockets. */
let nextPort = 20_000 + (process.pid % 500) * 20;

const findFreePort = async () => {
	let port = nextPort++;
	while (!(await canListen(port))) {
		port = nextPort++;
	}

	return port;
};

const readRunCommand = () => {
	const text = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(.*)"$/m.exec(text)[1].split(' ');
};

/** Order in which the nodes of a region become the reader of the store, as the project computes it. */
export const rankReaders = async nodeIds => {
	const {rankByWeightedRendezvous} = await import('../../packages/core/dist/routing/rendezvous-ranking.js');
	const candidates = nodeIds.map(address => ({address, weight: 0.54}));
	return rankByWeightedRendezvous('registry-reader', candidates, nodeIds.length).map(({address}) => address);
};

/** Starts the store, the upstreams' records, a configuration and the nodes, and ends all of them in `stop`. */
export const startFleet = async ({record, nodeIds, services, storeAddressOf = ({address}) => address, routes}) => {
	const store = await startStore(host);
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const children = [];
	let version = 3;

	const buildRoute = ({kind, service, goesTo = service, timeoutS = 5, attemptLimit = 2}) => ({
		name: `${service}-${kind}`,
		kind,
		target_latency_s: 1.2,
		priority: 1,
		match: {path_prefix: `/${kind}/`},
		action: {service: goesTo, timeout_s: timeoutS, max_attempts: attemptLimit},
	});
	const writeConfig = ({moves = {}} = {}) => {
		version += 2;
		const listeners = services.map(service => ({
			host: `${service}.example`,
			route_rules: (routes ?? ['safe', 'unsafe', 'upload'].map(kind => ({kind}))).map(route =>
				buildRoute({...route, service, goesTo: moves[service]}),
			),
		}));
		return store.write('keyed.op', 'config', {
			version: `r${version}`,
			limits: {max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15},
			base_version: `r${version - 2}`,
			listeners,
			clusters: [...services, ...Object.values(moves)].map(name => ({
				name,
				health_path: '/health',
				max_connections: 390,
				protocol: 'h1',
				tls: false,
			})),
		});
	};

	const bornMs = new Map();
	let sequenceNumber = 0;
	const publish = ({id, address, slots}, {service = services[0], state = 'ready'} = {}) => {
		bornMs.set(id, bornMs.get(id) ?? Date.now());
		sequenceNumber++;
		return store.write('keyed.servers', id, {
			address,
			born: bornMs.get(id),
			info: {service, version: 'v1', zone, slots},
			status: {state, seq: sequenceNumber, warmup_left_s: 0},
		});
	};

	const withdraw = ({id}) => store.write('keyed.servers', id);

	const command = readRunCommand();
	const controls = await Promise.all(nodeIds.map(async () => `${host}:${await findFreePort()}`));

	const startNode = async (nodeId, index) => {
		const front = `${host}:${await findFreePort()}`;
		const ready = `${host}:${await findFreePort()}`;
		const metricsPort = await findFreePort();
		const file = path.join(folder, `${nodeId}.yaml`);
		const settings = {
			node: nodeId,
			role: 'gateway',
			machine_class: 'edge',
			serves: ['edge', 'control_plane'],
			ip: host,
			zone,
			region,
			zones: {[zone]: region},
			listen: {front, ready, control: controls[index]},
			internal_ports: [7200, 7215],
			seeds: controls.slice(0, 3),
			first_start: true,
			loss_counts: false,
			limits: {cpu_share: 0.54, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0},
			data_dir: null,
			discovery: 'platform',
			entry: 'vip',
			heartbeat_s: 1.5,
			bounds: [
				'stable_window_s=3',
				'drain_s=2.5',
				'grace_s=6',
				'config_apply_s=2.5',
				'retry_budget_ratio=0.2',
				'retry_window_s=10',
				'retry_slack=62',
				'floor_share=0.7',
			],
			platform: {
				address: await storeAddressOf(store, nodeId),
				form: 'log',
				writes_per_s: 400,
				reads_per_s: 2000,
				keep_s: 300,
			},
		};
		// JSON is valid YAML.
		fs.writeFileSync(file, JSON.stringify(settings));
		const words = command.map(word => (word === '9464' ? String(metricsPort) : word));
		const log = [];
		const child = childProcess.spawn(words[0], words.slice(1), {
			cwd: root,
			env: {PATH: process.env.PATH, HOME: process.env.HOME, BILBERRYDOOR_NODE_FILE: file},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		children.push(child);
		child.stdout.on('data', chunk => {
			log.push(...chunk.toString().split('\n').filter(Boolean));
		});
		child.on('exit', (code, signal) => {
			record.add(`${nodeId} ended: code ${code}, signal ${signal}`);
		});
		const isReady = async () => {
			try {
				const response = await fetch(`http://${ready}/bilberrydoor/ready`, {signal: AbortSignal.timeout(500)});
				return response.status === 200;
			} catch {
				return false;
			}
		};

		return {nodeId, front, child, log, isReady, control: controls[index]};
	};

	writeConfig();
	const nodes = await Promise.all(nodeIds.map(async (nodeId, index) => startNode(nodeId, index)));
	return {
		store,
		nodes,
		publish,
		withdraw,
		writeConfig,
		async waitUntilReady() {
			const endAtMs = performance.now() + 20_000;
			while (!(await Promise.all(nodes.map(async node => node.isReady()))).every(Boolean)) {
				if (performance.now() > endAtMs) {
					throw new Error('the nodes are not ready');
				}

				await sleep(100);
			}
		},
		stop() {
			children.forEach(child => {
				child.kill('SIGCONT');
				child.kill('SIGKILL');
			});
			fs.rmSync(folder, {recursive: true, force: true});
		},
	};
};

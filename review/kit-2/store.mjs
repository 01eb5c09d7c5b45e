/* eslint-disable camelcase -- The names are those of the platform. */
// Stand-in for the platform's store: keyed topics with the three calls that the system makes.
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {findPort, sleep} from './shared.mjs';

const HEADER_BYTES = 16;
const CONFIG_TOPIC = 'keyed.op';
const SERVERS_TOPIC = 'keyed.servers';

const encodeFrame = ({key, value}) => {
	const keyBytes = Buffer.from(key);
	const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
};

const decodeFrames = bytes => {
	const records = [];
	let position = 0;
	while (position + 4 <= bytes.length) {
		const length = bytes.readUInt32BE(position);
		const content = bytes.subarray(position + 4, position + 4 + length);
		const valueStart = 1 + content[0];
		records.push({key: content.subarray(1, valueStart).toString(), value: content.subarray(valueStart).toString()});
		position += 4 + length;
	}

	return records;
};

export const startStore = async host => {
	const topics = new Map();
	const readTopic = name => {
		const records = topics.get(name) ?? [];
		topics.set(name, records);
		return records;
	};

	const sendJson = (response, status, value) => {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(value));
	};

	const calls = {
		async '/bilberrydoor/log-append'(records, request, response) {
			const chunks = [];
			for await (const chunk of request) {
				chunks.push(chunk);
			}

			const offset = records.length;
			records.push(...decodeFrames(Buffer.concat(chunks)));
			sendJson(response, 200, {offset, end: records.length});
		},
		async '/bilberrydoor/log-read'(records, request, response, query) {
			const from = Number(query.get('from'));
			const endAtMs = performance.now() + Number(query.get('wait_ms') ?? 0);
			while (records.length <= from && performance.now() < endAtMs && !response.destroyed) {
				await sleep(5);
			}

			const header = Buffer.alloc(HEADER_BYTES);
			header.writeBigUInt64BE(BigInt(records.length), 0);
			response.end(Buffer.concat([header, ...records.slice(from).map(encodeFrame)]));
		},
		async '/bilberrydoor/log-newest'(records, request, response) {
			const newest = new Map(records.map(({key, value}, offset) => [key, {key, value, offset}]));
			const items = [...newest.values()]
				.filter(({value}) => value !== '')
				.map(item => ({...item, value: Buffer.from(item.value).toString('base64')}));
			sendJson(response, 200, {items, more: false, end: records.length});
		},
	};

	/** Serves the store at one more address. */
	const listen = async listenHost => {
		const server = http.createServer({keepAliveTimeout: 60_000}, async (request, response) => {
			const {pathname, searchParams} = new URL(request.url, 'http://store');
			const call = calls[pathname];
			if (call) {
				await call(readTopic(searchParams.get('topic')), request, response, searchParams);
			} else {
				response.writeHead(404).end();
			}
		});
		const port = await findPort(listenHost);
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, listenHost, resolve);
		});
		return {
			address: `${listenHost}:${port}`,
			close() {
				server.close();
				server.closeAllConnections();
			},
		};
	};

	const first = await listen(host);
	const write = (topic, key, value) => {
		readTopic(topic).push({key, value: value === undefined ? '' : JSON.stringify(value)});
	};

	return {
		address: first.address,
		listen,
		/** Ends the service at the first address. */
		closeFirst: first.close,
		writeConfig(config) {
			write(CONFIG_TOPIC, 'config', config);
		},
		writeServer(id, entry) {
			write(SERVERS_TOPIC, id, entry);
		},
	};
};

/** A configuration with one listener for each service and a route for each kind of request. */
export const buildConfig = (version, services, {timeoutS = 4, maxAttempts = 2} = {}) => ({
	version: `r${version}`,
	base_version: `r${version - 1}`,
	limits: {max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15},
	listeners: services.map(service => ({
		host: `${service}.example`,
		route_rules: ['safe', 'unsafe', 'upload'].map((kind, priority) => ({
			name: `${service}-${kind}`,
			kind,
			target_latency_s: 1.2,
			priority,
			match: {path_prefix: `/${kind}/`},
			action: {service, timeout_s: timeoutS, max_attempts: maxAttempts},
		})),
	})),
	clusters: services.map(name => ({name, health_path: '/health', max_connections: 390})),
});

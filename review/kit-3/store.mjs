import {Buffer} from 'node:buffer';
import http from 'node:http';

const POLL_MS = 5;

/** Frame of one record in a keyed topic, as the platform's pages describe it. */
const encodeFrame = (key, value) => {
	const keyBytes = Buffer.from(key);
	const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
};

const decodeFrames = bytes => {
	const frames = [];
	let position = 0;
	while (position + 4 <= bytes.length) {
		const end = position + 4 + bytes.readUInt32BE(position);
		const keyEnd = position + 5 + bytes[position + 4];
		frames.push({key: bytes.subarray(position + 5, keyEnd).toString(), value: bytes.subarray(keyEnd, end)});
		position = end;
	}

	return frames;
};

const readBody = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const sleep = async durationMs =>
	new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});

/** Stand-in for the platform's store: the calls on the log that the pages describe, for topics with one partition. */
export const startStore = async host => {
	const topics = new Map();
	const readTopic = name => {
		const topic = topics.get(name) ?? [];
		topics.set(name, topic);
		return topic;
	};

	const handlers = {
		async '/bilberrydoor/log-append'(query, request, response) {
			const topic = readTopic(query.get('topic'));
			const offset = topic.length;
			topic.push(...decodeFrames(await readBody(request)));
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({offset, end: topic.length}));
		},
		async '/bilberrydoor/log-read'(query, request, response) {
			const topic = readTopic(query.get('topic'));
			const from = Number(query.get('from'));
			const endsAtMs = performance.now() + Number(query.get('wait_ms') ?? 0);
			while (topic.length <= from && performance.now() < endsAtMs && !response.destroyed) {
				await sleep(POLL_MS);
			}

			const head = Buffer.alloc(16);
			head.writeBigUInt64BE(BigInt(topic.length), 0);
			const frames = topic.slice(from).map(({key, value}) => encodeFrame(key, value));
			response.end(Buffer.concat([head, ...frames]));
		},
		async '/bilberrydoor/log-newest'(query, request, response) {
			const topic = readTopic(query.get('topic'));
			const newest = new Map(topic.map(({key, value}, offset) => [key, {key, value, offset}]));
			const items = [...newest.values()]
				.filter(({value}) => value.length > 0)
				.map(item => ({...item, value: item.value.toString('base64')}));
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify({items, more: false, end: topic.length}));
		},
	};

	const server = http.createServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		const handler = handlers[url.pathname];
		if (!handler) {
			response.writeHead(404).end();
			return;
		}

		await handler(url.searchParams, request, response);
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		/** Writes a record as the operator or an upstream does; undefined removes the key. */
		write(topic, key, value) {
			readTopic(topic).push({key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))});
		},
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
};

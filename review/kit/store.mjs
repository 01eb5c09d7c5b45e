// Stand-in for the platform's store: keyed topics, reads with a wait, and the newest record of each key.
import {Buffer} from 'node:buffer';
import * as http from 'node:http';

const pageHeaderBytes = 16;
const pageItemCount = 500;
const appendMs = 4;

const delay = async ms =>
	new Promise(resolve => {
		setTimeout(resolve, ms);
	});

const encodeFrame = ({key, value}) => {
	const keyBytes = Buffer.from(key);
	const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
};

const decodeFrames = body => {
	const records = [];
	let position = 0;
	while (position + 4 <= body.length) {
		const start = position + 4;
		const end = start + body.readUInt32BE(position);
		const valueStart = start + 1 + body[start];
		records.push({key: body.subarray(start + 1, valueStart).toString(), value: body.subarray(valueStart, end)});
		position = end;
	}

	return records;
};

const readBody = async request => {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Starts the store. `write` returns the time at which the store has accepted the record, in ms. */
export const startStore = async host => {
	const topics = new Map();
	const waiters = new Set();
	const recordsOf = name => {
		if (!topics.has(name)) {
			topics.set(name, []);
		}

		return topics.get(name);
	};

	const append = (name, records) => {
		const offset = recordsOf(name).length;
		recordsOf(name).push(...records);
		[...waiters].forEach(wake => wake());
		return offset;
	};

	const waitForRecord = async (name, from, waitMs) => {
		const endAtMs = performance.now() + waitMs;
		while (recordsOf(name).length <= from && performance.now() < endAtMs) {
			await new Promise(resolve => {
				const wake = () => {
					waiters.delete(wake);
					clearTimeout(timer);
					resolve();
				};

				const timer = setTimeout(wake, Math.max(1, endAtMs - performance.now()));
				waiters.add(wake);
			});
		}
	};

	const answerJson = (response, value) => {
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(value));
	};

	const calls = {
		async 'POST /bilberrydoor/log-append'(query, request, response) {
			const records = decodeFrames(await readBody(request));
			await delay(appendMs);
			const offset = append(query.get('topic'), records);
			answerJson(response, {offset, end: recordsOf(query.get('topic')).length});
		},
		async 'GET /bilberrydoor/log-read'(query, request, response) {
			const name = query.get('topic');
			const from = Number(query.get('from'));
			await delay(appendMs);
			await waitForRecord(name, from, Number(query.get('wait_ms') ?? 0));
			const header = Buffer.alloc(pageHeaderBytes);
			header.writeBigUInt64BE(BigInt(recordsOf(name).length), 0);
			response.writeHead(200).end(Buffer.concat([header, ...recordsOf(name).slice(from).map(encodeFrame)]));
		},
		async 'GET /bilberrydoor/log-newest'(query, request, response) {
			const name = query.get('topic');
			await delay(appendMs);
			const newest = new Map(recordsOf(name).map(({key, value}, offset) => [key, {key, value, offset}]));
			const items = [...newest.values()]
				.filter(({key, value}) => value.length > 0 && key > (query.get('after') ?? ''))
				.toSorted((left, right) => (left.key < right.key ? -1 : 1));
			answerJson(response, {
				items: items.slice(0, pageItemCount).map(item => ({...item, value: item.value.toString('base64')})),
				more: items.length > pageItemCount,
				end: recordsOf(name).length,
			});
		},
	};

	const server = http.createServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		const call = calls[`${request.method} ${url.pathname}`];
		if (!call) {
			response.writeHead(404).end();
			return;
		}

		await call(url.searchParams, request, response);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		write(topic, key, value) {
			append(topic, [{key, value: Buffer.from(value === undefined ? '' : JSON.stringify(value))}]);
			return performance.now();
		},
		values: topic =>
			new Map(
				recordsOf(topic)
					.filter(({value}) => value.length > 0)
					.map(({key, value}) => [key, JSON.parse(value.toString())]),
			),
	};
};

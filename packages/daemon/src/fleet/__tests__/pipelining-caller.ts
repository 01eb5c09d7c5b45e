import * as net from 'node:net';
import type {RunningNode} from './fleet-harness.js';

const REQUEST_COUNT = 24;
const HEADER_LINE_COUNT = 20;

/** Makes heads of 10 KB, within the limit of 16,384 bytes. */
const HEADER_VALUE = 'v'.repeat(500);
const HEADER_LINES = Array.from({length: HEADER_LINE_COUNT}, (_, index) => `X-Note-${index}: ${HEADER_VALUE}\r\n`);
const REQUEST = `GET /safe/x HTTP/1.1\r\nHost: malipo.example\r\n${HEADER_LINES.join('')}\r\n`;

/** Time after which a missing answer counts as a fault. It is far beyond what a busy machine needs. */
const ANSWER_LIMIT_MS = 60_000;

const countAnswers = (text: string): number => text.match(/HTTP\/1\.1 \d{3} /g)?.length ?? 0;

/**
 * Sends requests within the documented limits ahead of their answers, and reads the answers. Returns whether each request got an
 * answer or a refusal before the connection was closed.
 */
export const isPipeliningCallerAnswered = async (node: RunningNode): Promise<boolean> => {
	const {hostname, port} = new URL(node.frontUrl);
	const socket = net.connect(Number(port), hostname);
	let received = '';
	const isAnswered = await new Promise<boolean>(resolve => {
		const timer = setTimeout(resolve, ANSWER_LIMIT_MS, false);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			clearTimeout(timer);
			resolve(false);
		});
		socket.on('data', chunk => {
			received += chunk.toString('latin1');
			if (countAnswers(received) === REQUEST_COUNT) {
				clearTimeout(timer);
				resolve(true);
			}
		});
		socket.write(REQUEST.repeat(REQUEST_COUNT));
	});
	socket.destroy();
	return isAnswered;
};

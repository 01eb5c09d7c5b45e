import {Buffer} from 'node:buffer';
import net from 'node:net';

/** Reads HTTP/1.1 messages of one direction of a connection. Bodies with a length, in chunks, or up to the end. */
export class MessageReader {
	bytes = Buffer.alloc(0);
	head = undefined;
	bodyBytes = 0;
	chunks = [];
	isEnded = false;
	waiters = [];
	error = undefined;

	constructor(socket) {
		this.socket = socket;
		socket.on('data', data => {
			this.bytes = Buffer.concat([this.bytes, data]);
			this.wake();
		});
		const end = error => {
			this.error ??= error instanceof Error ? error.code : undefined;
			this.isEnded = true;
			this.wake();
		};

		socket.on('end', end);
		socket.on('error', end);
		socket.on('close', end);
		if (socket.destroyed) {
			end(socket.errored ?? undefined);
		}
	}

	wake() {
		this.waiters.splice(0).forEach(wake => {
			wake();
		});
	}

	async change() {
		await new Promise(resolve => {
			this.waiters.push(resolve);
		});
	}

	/** Takes up to `limitBytes`; fewer at the end of the connection. */
	async take(limitBytes) {
		while (this.bytes.length < limitBytes && !this.isEnded) {
			await this.change();
		}

		const taken = this.bytes.subarray(0, limitBytes);
		this.bytes = this.bytes.subarray(taken.length);
		return taken;
	}

	/** Takes what has arrived, at least one byte, up to `limitBytes`; nothing at the end of the connection. */
	async takeSome(limitBytes) {
		while (this.bytes.length === 0 && !this.isEnded) {
			await this.change();
		}

		const taken = this.bytes.subarray(0, limitBytes);
		this.bytes = this.bytes.subarray(taken.length);
		return taken;
	}

	async takeUntil(mark) {
		let index = this.bytes.indexOf(mark);
		while (index === -1 && !this.isEnded) {
			await this.change();
			index = this.bytes.indexOf(mark);
		}

		return index === -1 ? undefined : this.take(index + mark.length);
	}

	/** The next head, or undefined if the connection ended before it was complete. */
	async readHead() {
		const text = await this.takeUntil('\r\n\r\n');
		if (!text) {
			return undefined;
		}

		const [firstLine, ...lines] = text.toString('latin1').trim().split('\r\n');
		const headers = Object.fromEntries(
			lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]),
		);
		return {firstLine, words: firstLine.split(' '), headers};
	}

	/** Reads a body and calls the function with each part. Returns whether it was complete. */
	async readBody({headers}, onPart = () => undefined) {
		if (headers['transfer-encoding'] === 'chunked') {
			for (;;) {
				const line = await this.takeUntil('\r\n');
				if (!line) {
					return false;
				}

				const sizeBytes = Number.parseInt(line.toString(), 16);
				const part = await this.take(sizeBytes + 2);
				if (part.length < sizeBytes + 2) {
					return false;
				}

				if (sizeBytes === 0) {
					return true;
				}

				await onPart(part.subarray(0, sizeBytes));
			}
		}

		let leftBytes = Number(headers['content-length'] ?? 0);
		while (leftBytes > 0) {
			const part = await this.takeSome(leftBytes);
			if (part.length === 0) {
				return false;
			}

			leftBytes -= part.length;
			await onPart(part);
		}

		return true;
	}
}

export const connect = async (host, port) =>
	new Promise((resolve, reject) => {
		const socket = net.connect({host, port, noDelay: true}, () => {
			socket.off('error', reject);
			resolve(socket);
		});
		socket.once('error', reject);
	});

export const sleep = async durationMs =>
	new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});

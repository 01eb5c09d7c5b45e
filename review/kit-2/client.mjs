// A client that keeps one connection open for its requests.
import net from 'node:net';

export const connectClient = async ({host, port}) => {
	const socket = net.connect({host, port, noDelay: true});
	await new Promise((resolve, reject) => {
		socket.once('connect', resolve);
		socket.once('error', reject);
	});
	let received = '';
	let isClosed = false;
	const listeners = new Set();
	const wake = () => {
		listeners.forEach(listener => listener());
	};

	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		received += chunk;
		wake();
	});
	socket.on('error', () => {});
	['end', 'close'].forEach(event => {
		socket.on(event, () => {
			isClosed = true;
			wake();
		});
	});

	/** Takes a complete answer with a length off what has arrived; undefined while it is not complete. */
	const takeAnswer = () => {
		const headEnd = received.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return undefined;
		}

		const head = received.slice(0, headEnd);
		const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
		const end = headEnd + 4 + length;
		if (received.length < end) {
			return undefined;
		}

		received = received.slice(end);
		return {
			status: Number(head.split(' ')[1]),
			signature: /\r\nx-upstream-signature: *(\S+)/i.exec(head)?.[1],
			retryAfter: /\r\nretry-after: *(\S+)/i.exec(head)?.[1],
		};
	};

	return {
		/** Sends a request. Resolves with the answer, or with `{status: 0}` when the connection ends without a complete one. */
		async request({id, method, path, host: hostName, body = '', deadlineMs}) {
			socket.write(
				`${method} ${path} HTTP/1.1\r\nHost: ${hostName}\r\nX-Request-Id: ${id}\r\n` +
					`X-Request-Deadline-Ms: ${deadlineMs}\r\n${method === 'GET' ? '' : `Content-Length: ${body.length}\r\n`}\r\n${body}`,
			);
			return new Promise(resolve => {
				const check = () => {
					const answer = takeAnswer() ?? (isClosed ? {status: 0} : undefined);
					if (answer) {
						listeners.delete(check);
						resolve(answer);
					}
				};

				listeners.add(check);
				check();
			});
		},
		localPort: () => socket.localPort,
		isClosed: () => isClosed,
		close() {
			socket.destroy();
		},
	};
};

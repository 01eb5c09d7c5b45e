import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as platform from '@bilberrydoor/platform';
import test from 'ava';
import {startUploadPath, upload} from './upload-path.js';

const {PLATFORM_DIALECT: dialect} = platform;

const PHOTO_NAME = 'filename="égout-水.jpg"';

const VALUES = [
	{name: 'a character beyond Latin-1', header: 'x-place', value: Buffer.from('Kariakoo 水'), status: 200},
	{name: 'a character of two bytes', header: 'x-place', value: Buffer.from('égout'), status: 200},
	{name: 'a file name', header: 'content-disposition', value: Buffer.from(PHOTO_NAME), status: 200},
	{name: 'a byte that is not UTF-8', header: 'x-place', value: Buffer.from('\u00E9gout', 'latin1'), status: 502},
];

// Guards against a call that has run and whose caller's connection is closed without an answer.
VALUES.forEach(({name, header, value, status}) => {
	test(`an answer with ${name} in a header gets status ${status}, with the same bytes if it is passed on`, async t => {
		const server = net.createServer(socket => {
			socket.once('data', () => {
				const head = [
					'HTTP/1.1 200 OK',
					`${dialect.requestIdHeader}: upload`,
					`${dialect.signatureHeader}: signed`,
					'content-length: 0',
					`${header}: `,
				].join('\r\n');
				socket.write(Buffer.concat([Buffer.from(head), value, Buffer.from('\r\n\r\n')]));
			});
			socket.on('error', () => undefined);
		});
		server.listen(0, '127.0.0.1');
		await new Promise(resolve => {
			server.once('listening', resolve);
		});
		t.teardown(() => {
			server.close();
		});
		const {port} = server.address() as net.AddressInfo;
		const path = await startUploadPath(t, {targetCount: 1, firstPort: port});
		const answer = await upload(path, {requestId: 'upload', body: Buffer.from('x')}).answered;
		t.is(answer.status, status);
		t.is(answer.headers[header], status === 200 ? value.toString('latin1') : undefined);
	});
});

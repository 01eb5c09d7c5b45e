import * as core from '@bilberrydoor/core';
import test from 'ava';
import {createFleetPeerClient} from '../peer/fleet-peer-client.js';
import {writeEndlessly} from './endless-bytes.js';
import {startRawTarget} from './raw-target.js';

const REPLY_LIMIT_BYTES = 100_000;
const CHUNK = 'x'.repeat(16_384);

const ENDLESS_REPLIES = [
	{name: 'a head', start: 'HTTP/1.1 200 OK\r\nx-long: ', repeated: CHUNK},
	{
		name: 'a chunked body',
		start: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
		repeated: `4000\r\n${CHUNK}\r\n`,
	},
	{name: 'a body without a length', start: 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n', repeated: CHUNK},
];

// Guards against a faulty peer that fills the memory of the nodes that pull from it.
ENDLESS_REPLIES.forEach(({name, start, repeated}) => {
	test(`a reply with ${name} without end is an error, and its connection is closed`, async t => {
		const peer = await startRawTarget(t, async ({socket}) => {
			socket.write(start);
			await writeEndlessly(socket, repeated);
		});
		const client = createFleetPeerClient({replyLimitBytes: REPLY_LIMIT_BYTES});
		t.teardown(async () => client.close());
		const request = {fromOffsets: {catalogue: -1, targets: -1, nodes: -1}, waitMs: 0};
		const {signal} = new AbortController();
		const reply = await client.request(peer.address, core.FleetMessageKind.PullRegistry, request, {signal});
		t.is(reply._unsafeUnwrapErr().kind, core.PeerErrorKind.Lost);
		await peer.waitUntilClosed();
	});
});

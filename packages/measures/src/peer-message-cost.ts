import * as net from 'node:net';
import process from 'node:process';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';

/** What one probe exchange costs over the real adapter. */
export type PeerMessageCost = {
	/** Bytes of an exchange without the encoded contents, including IP and TCP headers. */
	readonly overheadBytes: number;
	/** Difference between the bytes of a full exchange and the sum of overhead and contents, as a ratio of the bytes. */
	readonly modelErrorRatio: number;
	/** CPU time of both sides of an exchange, in ms. */
	readonly cpuMs: number;
};

/** Request, reply and their acknowledgements, each with IP and TCP headers of 52 bytes. */
const PACKET_HEADER_BYTES = 4 * 52;
const UPDATE_COUNT = 8;
const WARM_UP_COUNT = 300;
const EXCHANGE_COUNT = 1000;

/** Size of a message's content as the real adapter encodes it. */
export const measureEncodedContent = (kind: core.PeerMessageKind, content: unknown, isReply: boolean): number =>
	JSON.stringify(adapters.encodePeerMessage(kind, content, isReply)).length;

const buildUpdate = (index: number): domain.MemberUpdate => ({
	node: {
		vmId: `vm-${10_000 + index}`,
		address: `10.20.30.${index}:8081`,
		incarnationId: adapters.createSystemRandom().token(),
		region: 'pwani',
		availabilityZone: 'kinondoni',
		operationsAddress: `10.20.30.${index}:8082`,
	},
	state: domain.MemberState.Alive,
	refutationCount: Date.now(),
});

const buildUpdates = (count: number): domain.MemberUpdate[] =>
	Array.from({length: count}, (_, index) => buildUpdate(index));

/** Starts a listener that answers probes, behind a proxy that counts the bytes of both directions. */
const startPeerWithByteCounter = async (envelope: adapters.PeerEnvelope, reply: () => core.ProbeReply) => {
	const count = {bytes: 0};
	const upstream = {port: 0};
	const proxy = net.createServer(socket => {
		const upstreamSocket = net.connect(upstream.port, '127.0.0.1');
		[
			[socket, upstreamSocket],
			[upstreamSocket, socket],
		].forEach(([from, to]) => {
			from!.on('data', chunk => {
				count.bytes += chunk.length;
				to!.write(chunk);
			});
			from!.on('close', () => to!.destroy());
		});
	});
	await new Promise<void>(resolve => {
		proxy.listen(0, '127.0.0.1', resolve);
	});
	const address = `127.0.0.1:${(proxy.address() as net.AddressInfo).port}`;
	const self = {...buildUpdate(0).node, address};
	const peerHandlers = {[core.PeerMessageKind.Probe]: async () => reply()} as unknown as core.PeerHandlers;
	const node = {self, peerHandlers, handleForwardedCall: async () => domain.unknown(domain.RefusalReason.Internal, '')};
	const app = adapters.createPeerApp({node, envelope, logger: fakes.createSilentLogger()});
	const listener = await adapters.startHttpListener(app, {});
	upstream.port = adapters.splitAddress(listener.address).port;
	return {address, directAddress: listener.address, self, count, proxy, listener};
};

/** Measures probe exchanges over the real adapter on the loopback interface. */
export const measurePeerMessageCost = async (): Promise<PeerMessageCost> => {
	const envelope = adapters.createPeerEnvelope({
		authenticator: adapters.createFleetKeyAuthenticator(['measure-key-0123456789']),
		clock: adapters.createSystemClock(),
		random: adapters.createSystemRandom(),
	});
	const client = adapters.createHttpPeerClient(envelope);
	let replyUpdates: domain.MemberUpdate[] = [];
	const peer = await startPeerWithByteCounter(envelope, () => ({
		responder: buildUpdate(1),
		appliedOffset: 123_456,
		updates: replyUpdates,
	}));

	/** Returns the bytes on the wire and the bytes of the contents. */
	const exchange = async (updates: domain.MemberUpdate[]): Promise<{wireBytes: number; contentBytes: number}> => {
		replyUpdates = updates;
		const before = peer.count.bytes;
		const request = {sender: buildUpdate(2), appliedOffset: 123_456, silenceMs: 1234, updates};
		const kind = core.PeerMessageKind.Probe;
		const result = await client.request(peer.address, kind, request, AbortSignal.timeout(5000));
		const reply = result._unsafeUnwrap();
		return {
			wireBytes: peer.count.bytes - before + PACKET_HEADER_BYTES,
			contentBytes: measureEncodedContent(kind, request, false) + measureEncodedContent(kind, reply, true),
		};
	};

	const repeatExchange = async (count: number): Promise<void> => {
		for (let index = 0; index < count; index++) {
			await exchange(buildUpdates(2));
		}
	};

	await repeatExchange(WARM_UP_COUNT);
	const cpuBefore = process.cpuUsage();
	await repeatExchange(EXCHANGE_COUNT);
	const cpu = process.cpuUsage(cpuBefore);
	const empty = await exchange([]);
	const full = await exchange(buildUpdates(UPDATE_COUNT));
	await client.close();
	peer.proxy.close();
	peer.listener.destroy();
	await peer.listener.close();
	const overheadBytes = empty.wireBytes - empty.contentBytes;
	return {
		overheadBytes,
		modelErrorRatio: Math.abs(full.wireBytes - full.contentBytes - overheadBytes) / full.wireBytes,
		cpuMs: (cpu.user + cpu.system) / 1000 / EXCHANGE_COUNT,
	};
};

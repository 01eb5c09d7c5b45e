import * as net from 'node:net';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';

export const OLD_KEY = 'old-key-0123456789';
export const NEW_KEY = 'new-key-0123456789';

/** Faults that a test injects into an exchange. */
export type PeerFault = {
	readonly clientKeys?: readonly string[];
	readonly serverKeys?: readonly string[];
	/** Offset of the client's clock from the peer's, in ms. */
	readonly clockOffsetMs?: number;
	/** Whether every message of the client carries the same time and nonce. */
	readonly isNonceRepeated?: boolean;
	readonly clientVersion?: string;
	/** Alters the bytes in transit, decoded as Latin-1. */
	readonly alterRequest?: (text: string) => string;
	readonly alterReply?: (text: string) => string;
	/** Runs in the peer while it handles a message. */
	readonly whileHandling?: (harness: PeerHarness) => void | Promise<void>;
	readonly isStopped?: boolean;
	/** Port of another peer to which the bytes are redirected. */
	readonly redirectPort?: number;
};

/** A client and a peer that answers every message. */
export type PeerHarness = {
	readonly client: core.PeerClient;
	readonly address: string;
	readonly handledCount: () => number;
	/** Aborted by `abortExchange`. */
	readonly signal: AbortSignal;
	/** Aborts the exchange on the caller's side, as its time limit would. */
	abortExchange(): void;
	/** Closes the peer's connections and listener, as the end of its process would. */
	kill(): void;
	close(): Promise<void>;
};

const SELF: domain.NodeDescription = {
	vmId: 'vm-1',
	address: '',
	incarnationId: 'present',
	region: 'pwani',
	availabilityZone: 'temeke',
	operationsAddress: '',
};

async function* writeAnswer(): AsyncGenerator<Uint8Array> {
	yield new TextEncoder().encode('answer');
}

const failOnUnexpectedMessage = async (): Promise<never> => {
	throw new Error('the test sends no such message');
};

/** A node that answers calls and pulls, and counts them. */
const createPeerNode = (address: string, handle: () => Promise<void>) => ({
	self: {...SELF, address},
	async handleForwardedCall() {
		await handle();
		return domain.completed({status: 200, headers: [], body: writeAnswer()});
	},
	peerHandlers: {
		...(Object.fromEntries(
			Object.values(core.PeerMessageKind).map(kind => [kind, failOnUnexpectedMessage]),
		) as unknown as core.PeerHandlers),
		async [core.PeerMessageKind.PullRecords]() {
			await handle();
			return {
				records: [],
				nextOffset: 8,
				appliedOffset: 7,
				isTruncated: false,
				freshness: core.RelayFreshness.Log,
			};
		},
	},
});

const passUnchanged = (text: string): string => text;

/** Forwards bytes between the client and the listener, and alters them. */
const startProxy = async (fault: PeerFault, upstreamPort: () => number): Promise<net.Server> => {
	const forwardBytes = (from: net.Socket, to: net.Socket, alter: (text: string) => string): void => {
		from.on('data', chunk => to.write(alter(chunk.toString('latin1')), 'latin1'));
		from.on('close', () => to.destroy());
		from.on('error', () => to.destroy());
	};

	const server = net.createServer(socket => {
		const upstream = net.connect(upstreamPort(), '127.0.0.1');
		forwardBytes(socket, upstream, fault.alterRequest ?? passUnchanged);
		forwardBytes(upstream, socket, fault.alterReply ?? passUnchanged);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return server;
};

/**
 * Time of day for both client and peer, so that only the offset decides whether a message is in the time window. With the
 * system clock, a message with an offset of 31 s that arrived 1 s late on a busy machine was inside the window of 30 s.
 */
const FIXED_WALL_MS = Date.UTC(2026, 0, 1);

const createEnvelope = (keys: readonly string[], fault: PeerFault): adapters.PeerEnvelope => {
	const clock = adapters.createSystemClock();
	const random = adapters.createSystemRandom();
	const wallMs = (): number => FIXED_WALL_MS + (fault.clockOffsetMs ?? 0);
	const envelope = adapters.createPeerEnvelope({
		authenticator: adapters.createFleetKeyAuthenticator(keys),
		clock: {...clock, wallMs},
		random: {...random, token: fault.isNonceRepeated ? () => 'nonce' : random.token},
	});
	return {
		...envelope,
		seal: (purpose, content) => (fault.clientVersion ?? '1') + envelope.seal(purpose, content).slice(1),
	};
};

/** Creates a harness of the HTTP adapter with a real listener. */
export const createHttpHarness = async (fault: PeerFault): Promise<PeerHarness> => {
	let handledCount = 0;
	let upstreamPort = 0;
	const proxy = await startProxy(fault, () => fault.redirectPort ?? upstreamPort);
	const address = `127.0.0.1:${(proxy.address() as net.AddressInfo).port}`;
	const node = createPeerNode(address, async () => {
		handledCount++;
		await fault.whileHandling?.(harness);
	});
	const envelope = createEnvelope(fault.serverKeys ?? [NEW_KEY], {});
	const app = adapters.createPeerApp({node, envelope, logger: fakes.createSilentLogger()});
	const listener = await adapters.startHttpListener(app, {headerLimitBytes: 65_536});
	upstreamPort = adapters.splitAddress(listener.address).port;
	const client = adapters.createHttpPeerClient(createEnvelope(fault.clientKeys ?? [NEW_KEY], fault), {
		// The default of 500 ms is too short on a machine that starts all tests at once.
		connectTimeoutMs: 20_000,
	});
	const kill = (): void => {
		proxy.close();
		listener.destroy();
	};

	const controller = new AbortController();
	const harness: PeerHarness = {
		client,
		address,
		handledCount: () => handledCount,
		signal: controller.signal,
		abortExchange() {
			controller.abort();
		},
		kill,
		async close() {
			await client.close();
			kill();
			await listener.close();
		},
	};
	if (fault.isStopped) {
		kill();
		await listener.close();
	}

	return harness;
};

/** Creates a harness of the fake network with the system clock. */
export const createFakeHarness = async (fault: PeerFault): Promise<PeerHarness> => {
	let handledCount = 0;
	const network = fakes.createFakeNetwork(adapters.createSystemClock());
	const host = fakes.createFakeHost();
	const node = createPeerNode('peer:1', async () => {
		handledCount++;
		await fault.whileHandling?.(harness);
	});
	if (!fault.isStopped) {
		network.addNode('peer:1', {host, node});
	}

	const controller = new AbortController();
	const harness: PeerHarness = {
		client: network.createPeerClient('client:1', fakes.createFakeHost()),
		address: 'peer:1',
		handledCount: () => handledCount,
		signal: controller.signal,
		abortExchange() {
			controller.abort();
		},
		kill() {
			host.kill();
			// The fake network does not report a broken connection, so only the caller's time limit ends the exchange.
			controller.abort();
		},
		async close() {
			host.kill();
		},
	};
	return harness;
};

import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {FakeHost} from './fake-host.js';
import {FakeTargetFault, type FakeTarget} from './fake-target.js';

/** A node as the network reaches it. */
export type NetworkNode = {
	readonly host: FakeHost;
	readonly node: Pick<core.Node, 'self' | 'peerHandlers' | 'handleForwardedCall'>;
};

/** Connects nodes and targets in memory, with latencies and one-way cuts. */
export type FakeNetwork = {
	/** One-way latency between two addresses, in ms. */
	latencyMs: (from: string, to: string) => number;
	/** Time after which a connection attempt into a cut fails, in ms. */
	connectTimeoutMs: number;
	/** Time that a target takes to answer a health probe, in ms. It is not affected by gray faults. */
	probeMs: number;
	/**
	 * Delivers control messages and submissions of operations twice when set, the copy this much later, in ms. Calls that
	 * are to be scheduled are left out, because the peer protocol accepts each of their messages once.
	 */
	duplicateAfterMs?: number;
	/** Control messages that a node has sent, by kind. */
	readonly messageCounts: ReadonlyMap<core.PeerMessageKind, number>;
	/** Size of a request or reply in bytes, without the fixed cost of its exchange. */
	measureContent: (kind: core.PeerMessageKind, content: unknown, isReply: boolean) => number;
	/** Fixed cost of an exchange in bytes. */
	exchangeOverheadBytes: number;
	/** Called for each control message with an estimate of its size in bytes, both directions. */
	onMessage?: (from: string, to: string, sizeBytes: number) => void;
	addNode(address: string, node: NetworkNode): void;
	addTarget(target: FakeTarget): void;
	/** Loses everything from one address to another; the other direction goes on. */
	cut(from: string, to: string): void;
	heal(): void;
	isCut(from: string, to: string): boolean;
	createPeerClient(selfAddress: string, host: FakeHost): core.PeerClient;
	createTargetClient(selfAddress: string, host: FakeHost): core.TargetClient;
};

/** Fixed cost of an HTTP exchange with its authentication header, in bytes. */
const DEFAULT_EXCHANGE_OVERHEAD_BYTES = 600;

export const createFakeNetwork = (clock: core.Clock): FakeNetwork => {
	const nodes = new Map<string, NetworkNode>();
	const targets = new Map<string, FakeTarget>();
	const cuts = new Set<string>();
	const messageCounts = new Map<core.PeerMessageKind, number>();
	const isCut = (from: string, to: string): boolean => cuts.has(`${from}>${to}`);
	const unreachable = () => neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'connection failed'});
	const lost = () => neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'no reply'});

	const waitForAbort = async (signal: AbortSignal): Promise<void> =>
		signal.aborted
			? undefined
			: new Promise(resolve => {
					signal.addEventListener(
						'abort',
						() => {
							resolve();
						},
						{once: true},
					);
				});

	const repeatLater = async <T>(
		receiver: NetworkNode,
		handle: (receiver: NetworkNode) => Promise<T>,
	): Promise<void> => {
		if (network.duplicateAfterMs !== undefined) {
			await clock.sleep(network.duplicateAfterMs);
			await receiver.host.waitUntilRunning();
			await handle(receiver);
		}
	};

	/** Delivers one exchange. A cut towards the peer looks like a connection that cannot be opened. */
	const exchange = async <T>(
		from: {address: string; host: FakeHost},
		{to, isRepeatable}: {to: string; isRepeatable: boolean},
		signal: AbortSignal,
		handle: (receiver: NetworkNode) => Promise<T>,
	): Promise<neverthrow.Result<T, core.PeerError>> => {
		await from.host.waitUntilRunning();
		await clock.sleep(network.latencyMs(from.address, to), signal);
		const receiver = nodes.get(to);
		if (!receiver || receiver.host.isDead()) {
			return unreachable();
		}

		if (isCut(from.address, to)) {
			await clock.sleep(network.connectTimeoutMs, signal);
			return unreachable();
		}

		const work = async (): Promise<{readonly reply: T}> => {
			await receiver.host.waitUntilRunning();
			if (isRepeatable) {
				void repeatLater(receiver, handle);
			}

			const reply = await handle(receiver);
			await receiver.host.waitUntilRunning();
			return {reply};
		};

		const worked = await Promise.race([work(), waitForAbort(signal)]);
		if (worked === undefined || receiver.host.isDead() || isCut(to, from.address)) {
			await waitForAbort(signal);
			return lost();
		}

		await clock.sleep(network.latencyMs(to, from.address), signal);
		await from.host.waitUntilRunning();
		return neverthrow.ok(worked.reply);
	};

	/** Breaks an answer off when its sender dies or the way back is cut while the body is read. */
	const breakWithConnection = (ending: domain.CallEnding, from: string, to: string): domain.CallEnding => {
		const sender = nodes.get(from);
		return ending.outcome === domain.Outcome.Completed
			? domain.completed({
					...ending.answer,
					body: core.observeBody(ending.answer.body, {
						onChunk() {
							if (isCut(from, to) || sender?.host.isDead() === true) {
								throw new Error('the connection broke');
							}
						},
					}),
				})
			: ending;
	};

	const network: FakeNetwork = {
		latencyMs: () => 0.5,
		connectTimeoutMs: 500,
		measureContent: (_kind, content) => JSON.stringify(content).length,
		exchangeOverheadBytes: DEFAULT_EXCHANGE_OVERHEAD_BYTES,
		probeMs: 25,
		messageCounts,
		addNode(address, node) {
			nodes.set(address, node);
		},
		addTarget(target) {
			targets.set(target.entry.address, target);
		},
		cut(from, to) {
			cuts.add(`${from}>${to}`);
		},
		heal() {
			cuts.clear();
		},
		isCut,
		createPeerClient: (selfAddress, host) => ({
			async request(address, kind, request, signal) {
				messageCounts.set(kind, (messageCounts.get(kind) ?? 0) + 1);
				const result = await exchange(
					{address: selfAddress, host},
					{to: address, isRepeatable: true},
					signal,
					async ({node}) => node.peerHandlers[kind](request, signal),
				);
				if (network.onMessage) {
					const requestSize = network.measureContent(kind, request, false);
					const replySize = result.isOk() ? network.measureContent(kind, result.value, true) : 0;
					network.onMessage(selfAddress, address, requestSize + replySize + network.exchangeOverheadBytes);
				}

				return result;
			},
			async forwardCall(address, forwarded, signal) {
				const required = forwarded.requiredIncarnationId;
				const isRepeatable = forwarded.purpose !== core.ForwardPurpose.Schedule;
				const result = await exchange(
					{address: selfAddress, host},
					{to: address, isRepeatable},
					signal,
					async ({node}) =>
						required !== undefined && required !== node.self.incarnationId
							? {ending: undefined}
							: {ending: await node.handleForwardedCall(forwarded, signal)},
				);
				return result.andThen<domain.CallEnding, core.PeerError>(({ending}) =>
					ending
						? neverthrow.ok(breakWithConnection(ending, address, selfAddress))
						: neverthrow.err({kind: core.PeerErrorKind.Refused, detail: 'another incarnation'}),
				);
			},
		}),
		createTargetClient: (selfAddress, host) => ({
			async send(entry, request, signal) {
				await host.waitUntilRunning();
				await clock.sleep(network.latencyMs(selfAddress, entry.address), signal);
				await host.waitUntilRunning();
				const target = targets.get(entry.address);
				if (!target || isCut(selfAddress, entry.address)) {
					return neverthrow.err({kind: core.TargetErrorKind.Unreachable, detail: 'connection failed'});
				}

				if (signal.aborted) {
					return neverthrow.err({kind: core.TargetErrorKind.Cancelled, detail: 'cancelled'});
				}

				const answer = await target.serve(request, signal);
				if (isCut(entry.address, selfAddress)) {
					await waitForAbort(signal);
					return neverthrow.err({kind: core.TargetErrorKind.Cancelled, detail: 'no answer arrived'});
				}

				await clock.sleep(network.latencyMs(entry.address, selfAddress), signal);
				await host.waitUntilRunning();
				return answer;
			},
			async probe(entry, signal) {
				await clock.sleep(network.latencyMs(selfAddress, entry.address), signal);
				const target = targets.get(entry.address);
				if (!target || target.fault === FakeTargetFault.Down || isCut(selfAddress, entry.address)) {
					return neverthrow.err({kind: core.TargetErrorKind.Unreachable, detail: 'connection failed'});
				}

				await clock.sleep(network.probeMs, signal);
				if (isCut(entry.address, selfAddress)) {
					await waitForAbort(signal);
					return neverthrow.err({kind: core.TargetErrorKind.Cancelled, detail: 'no answer arrived'});
				}

				await clock.sleep(network.latencyMs(entry.address, selfAddress), signal);
				return neverthrow.ok({isReady: true, isLeaving: target.isLeaving});
			},
		}),
	};
	return network;
};

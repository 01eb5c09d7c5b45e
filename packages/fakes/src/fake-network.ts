import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {FakeHost} from './fake-host.js';
import {FakeTargetFault, type FakeTarget} from './fake-target.js';
import {waitForAbort} from './wait-for-abort.js';

/** The parts of a node that the network uses. */
export type NetworkNode = {
	readonly host: FakeHost;
	readonly node: Pick<core.Node, 'self' | 'peerHandlers' | 'handleForwardedCall'>;
};

/** In-memory network between nodes and targets, with latencies and one-way cuts. */
export type FakeNetwork = {
	/** One-way latency between two addresses, in ms. */
	latencyMs: (from: string, to: string) => number;
	/** Time after which a connection attempt over a cut path fails, in ms. */
	connectTimeoutMs: number;
	/** Time that a target takes to answer a health probe, in ms. Faults other than `Down` do not change it. */
	probeDurationMs: number;
	/**
	 * If set, control messages and operation submissions are delivered twice, the second time after this delay in ms. Calls
	 * forwarded for scheduling are not duplicated, because the peer protocol accepts each of their messages once.
	 */
	duplicateAfterMs?: number;
	/** Number of control messages that all nodes have sent, by kind. */
	readonly messageCounts: ReadonlyMap<core.PeerMessageKind, number>;
	/** Size of a request or reply in bytes, without the overhead of the exchange. */
	measureContent: (kind: core.PeerMessageKind, content: unknown, isReply: boolean) => number;
	/** Fixed overhead of an exchange, in bytes. */
	exchangeOverheadBytes: number;
	/** Called for each control message with the estimated size of request, reply and overhead in bytes. */
	onMessage?: (from: string, to: string, sizeBytes: number) => void;
	addNode(address: string, node: NetworkNode): void;
	addTarget(target: FakeTarget): void;
	/** Drops all traffic from one address to another. The opposite direction still works. */
	cut(from: string, to: string): void;
	heal(): void;
	isCut(from: string, to: string): boolean;
	createPeerClient(selfAddress: string, host: FakeHost): core.PeerClient;
	createTargetClient(selfAddress: string, host: FakeHost): core.TargetClient;
};

/** Fixed overhead of an HTTP exchange with its authentication header, in bytes. */
const DEFAULT_EXCHANGE_OVERHEAD_BYTES = 600;

export const createFakeNetwork = (clock: core.Clock): FakeNetwork => {
	const nodes = new Map<string, NetworkNode>();
	const targets = new Map<string, FakeTarget>();
	const cuts = new Set<string>();
	const messageCounts = new Map<core.PeerMessageKind, number>();
	const isCut = (from: string, to: string): boolean => cuts.has(`${from}>${to}`);
	const unreachable = () => neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'connection failed'});
	const lost = () => neverthrow.err({kind: core.PeerErrorKind.Lost, detail: 'no reply'});

	const deliverDuplicate = async <T>(
		receiver: NetworkNode,
		handle: (receiver: NetworkNode) => Promise<T>,
	): Promise<void> => {
		if (network.duplicateAfterMs !== undefined) {
			await clock.sleep(network.duplicateAfterMs);
			await receiver.host.waitUntilRunning();
			await handle(receiver);
		}
	};

	/** Delivers a request and its reply. If the path to the peer is cut, the connection attempt times out. */
	const exchange = async <T>(
		from: {address: string; host: FakeHost},
		{to, mayDuplicate}: {to: string; mayDuplicate: boolean},
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

		const handleRequest = async (): Promise<{readonly reply: T}> => {
			await receiver.host.waitUntilRunning();
			if (mayDuplicate) {
				void deliverDuplicate(receiver, handle);
			}

			const reply = await handle(receiver);
			await receiver.host.waitUntilRunning();
			return {reply};
		};

		const handled = await Promise.race([handleRequest(), waitForAbort(signal)]);
		if (handled === undefined || receiver.host.isDead() || isCut(to, from.address)) {
			await waitForAbort(signal);
			return lost();
		}

		await clock.sleep(network.latencyMs(to, from.address), signal);
		await from.host.waitUntilRunning();
		return neverthrow.ok(handled.reply);
	};

	/** Makes the body of an answer fail if its sender is killed or the path from the sender is cut while the body is read. */
	const failBodyOnDisconnect = (ending: domain.CallEnding, from: string, to: string): domain.CallEnding => {
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
		probeDurationMs: 25,
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
					{to: address, mayDuplicate: true},
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
				const requiredId = forwarded.requiredIncarnationId;
				const mayDuplicate = forwarded.purpose !== core.ForwardPurpose.Schedule;
				const result = await exchange(
					{address: selfAddress, host},
					{to: address, mayDuplicate},
					signal,
					async ({node}) =>
						requiredId !== undefined && requiredId !== node.self.incarnationId
							? {ending: undefined}
							: {ending: await node.handleForwardedCall(forwarded, signal)},
				);
				return result.andThen<domain.CallEnding, core.PeerError>(({ending}) =>
					ending
						? neverthrow.ok(failBodyOnDisconnect(ending, address, selfAddress))
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
			async probe(entry, _attemptId, signal) {
				await clock.sleep(network.latencyMs(selfAddress, entry.address), signal);
				const target = targets.get(entry.address);
				if (!target || target.fault === FakeTargetFault.Down || isCut(selfAddress, entry.address)) {
					return neverthrow.err({kind: core.TargetErrorKind.Unreachable, detail: 'connection failed'});
				}

				await clock.sleep(network.probeDurationMs, signal);
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

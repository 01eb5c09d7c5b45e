import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {MemberExchange} from './member-exchange.js';
import type {MembershipOptions} from './membership-options.js';
import {isProbed, type MemberTable} from './member-table.js';
import {listRingSuccessors} from './probe-rings.js';

export enum VerificationResult {
	/** The member replied to this node or to a helper. */
	Reached = 'reached',
	/** Helpers replied and could not reach the member either; without helpers, the VM list replied. */
	Unreached = 'unreached',
	/** As `Unreached`, but a helper has recently received a message from the member. */
	SendOnly = 'heard-only',
	/** No helper replied or, without helpers, the VM list did not. The fault may be in this node's own network. */
	Inconclusive = 'inconclusive',
}

/** Checks whether a member can be reached, by direct and indirect probes. */
export type MemberVerifier = {
	/** Sends one probe and applies the reply. Returns whether a reply came in time. */
	probe(node: domain.NodeDescription, signal: AbortSignal): Promise<boolean>;
	/**
	 * Probes directly, then through helpers. A message that a helper received from the member within the last
	 * `suspectedForMs` gives `SendOnly`.
	 */
	verify(node: domain.NodeDescription, suspectedForMs: number, signal: AbortSignal): Promise<VerificationResult>;
	/** Measures the round trip of an empty message, in ms; undefined when no reply comes in time. */
	measureRoundTripMs(address: string): Promise<number | undefined>;
	/** Number of the current ring period. A new period gives each node other ring successors to probe. */
	ringPeriod(): number;
};

/** Random helpers asked when the table holds no ring successors of the member. */
const SUBSTITUTE_HELPER_COUNT = 2;

export const createMemberVerifier = (dependencies: {
	ports: ports.NodePorts;
	table: MemberTable;
	exchange: MemberExchange;
	appliedOffset: () => number;
	options: MembershipOptions;
}): MemberVerifier => {
	const {table, exchange, options} = dependencies;
	const {clock, metrics, peerClient, random, vmList} = dependencies.ports;

	const request = async <Kind extends ports.PeerMessageKind>(
		address: string,
		kind: Kind,
		message: ports.PeerMessages[Kind]['request'],
		limits: {timeoutMs: number; signal: AbortSignal},
	): Promise<ports.PeerMessages[Kind]['reply'] | undefined> => {
		const timed = await runWithTimeout({clock, ...limits}, async signal =>
			peerClient.request(address, kind, message, signal),
		);
		const reply = timed.isTimedOut ? undefined : timed.value.unwrapOr(undefined);
		metrics.increment(ports.CounterName.PeerMessages, {kind, result: reply ? 'replied' : 'failed'});
		return reply;
	};

	const probe = async (node: domain.NodeDescription, signal: AbortSignal): Promise<boolean> => {
		const reply = await request(
			node.address,
			ports.PeerMessageKind.Probe,
			{
				sender: table.self(),
				appliedOffset: dependencies.appliedOffset(),
				silenceMs: exchange.silenceMs(node.region),
				updates: exchange.takeUpdates(node.address),
			},
			{timeoutMs: options.probeTimeoutMs, signal},
		);
		if (reply) {
			exchange.recordContact(reply.responder, reply.appliedOffset);
			exchange.applyUpdates(reply.updates);
		}

		return reply !== undefined;
	};

	const ringPeriod = (): number => Math.floor(clock.wallMs() / options.ringPeriodMs);

	/**
	 * Prefers the members that the subject probes, because they receive its probes as long as it can send. Without them,
	 * chooses members at random.
	 */
	const chooseHelpers = (subject: domain.NodeDescription): domain.NodeDescription[] => {
		const selfAddress = table.self().node.address;
		const isHelper = (node: domain.NodeDescription): boolean =>
			node.address !== selfAddress && node.address !== subject.address;
		const peers = listRingSuccessors(table.listProbed(subject.region), subject.address, {
			ringCount: options.regionPeerCount,
			period: ringPeriod(),
		}).filter(isHelper);
		if (peers.length > 0) {
			return peers;
		}

		const others = table
			.list()
			.filter(isProbed)
			.map(member => member.node)
			.filter(isHelper);
		const startIndex = Math.floor(random.fraction() * others.length);
		return [...others.slice(startIndex), ...others.slice(0, startIndex)].slice(0, SUBSTITUTE_HELPER_COUNT);
	};

	const sendIndirectProbe = async (helper: domain.NodeDescription, subjectAddress: string, signal: AbortSignal) => {
		const reply = await request(
			helper.address,
			ports.PeerMessageKind.IndirectProbe,
			{subjectAddress, updates: exchange.takeUpdates(helper.address)},
			// The helper's own probe takes up to `probeTimeoutMs`; the same again covers the round trip to the helper.
			{timeoutMs: 2 * options.probeTimeoutMs, signal},
		);
		if (reply) {
			exchange.applyUpdates(reply.updates);
		}

		return reply;
	};

	/** Without helpers, a reply of the VM list is the evidence that this node's own network works. */
	const verifyByVmList = async (signal: AbortSignal): Promise<VerificationResult> => {
		const timed = await runWithTimeout({clock, timeoutMs: options.probeTimeoutMs, signal}, async taskSignal =>
			vmList.list(taskSignal),
		);
		return !timed.isTimedOut && timed.value.isOk() ? VerificationResult.Unreached : VerificationResult.Inconclusive;
	};

	return {
		probe,
		async measureRoundTripMs(address) {
			const startedAtMs = clock.monotonicMs();
			const reply = await request(
				address,
				// An indirect probe without a subject is answered at once, and the request takes no updates from the queue.
				ports.PeerMessageKind.IndirectProbe,
				{subjectAddress: '', updates: []},
				{timeoutMs: options.probeTimeoutMs, signal: new AbortController().signal},
			);
			return reply && clock.monotonicMs() - startedAtMs;
		},
		ringPeriod,
		async verify(node, suspectedForMs, signal) {
			if (await probe(node, signal)) {
				return VerificationResult.Reached;
			}

			const helpers = chooseHelpers(node);
			if (helpers.length === 0) {
				return verifyByVmList(signal);
			}

			const answers = await Promise.all(helpers.map(async helper => sendIndirectProbe(helper, node.address, signal)));
			const replies = answers.filter(reply => reply !== undefined);
			if (replies.length === 0) {
				return VerificationResult.Inconclusive;
			}

			if (replies.some(reply => reply.isReached)) {
				return VerificationResult.Reached;
			}

			return replies.some(reply => (reply.heardAgoMs ?? Infinity) < suspectedForMs)
				? VerificationResult.SendOnly
				: VerificationResult.Unreached;
		},
	};
};

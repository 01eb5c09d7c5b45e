import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {MemberExchange} from './member-exchange.js';
import type {MembershipOptions} from './membership-options.js';
import {isProbed, type MemberTable} from './member-table.js';
import {listRingSuccessors} from './probe-rings.js';

export enum Verification {
	/** The member replied, to this node or to a helper. */
	Reached = 'reached',
	/** Helpers replied to this node and could not reach the member either. */
	Unreached = 'unreached',
	/** As `Unreached`, but a helper has received messages from the member. */
	HeardOnly = 'heard-only',
	/** No helper replied, so the fault may lie with this node. */
	Inconclusive = 'inconclusive',
}

/** Finds out whether a member can be reached. */
export type MemberVerifier = {
	/** Sends one probe and applies the reply. */
	probe(node: domain.NodeDescription, signal: AbortSignal): Promise<boolean>;
	/** Probes directly, then through helpers. `suspectedForMs` bounds how old a message to a helper may be. */
	verify(node: domain.NodeDescription, suspectedForMs: number, signal: AbortSignal): Promise<Verification>;
	/** Measures a round trip with a message that carries nothing; undefined when no reply comes in time. */
	measureRoundTripMs(address: string): Promise<number | undefined>;
	/** Period of the rings that decide who probes whom. */
	ringPeriod(): number;
};

/** Helpers asked when the member's own peers are unknown. */
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
			exchange.noteHeard(reply.responder, reply.appliedOffset);
			exchange.applyUpdates(reply.updates);
		}

		return reply !== undefined;
	};

	const ringPeriod = (): number => Math.floor(clock.wallMs() / options.ringPeriodMs);

	/** The subject's own peers come first, because they hear the subject when it can still send. */
	const chooseHelpers = (subject: domain.NodeDescription): domain.NodeDescription[] => {
		const self = table.self().node.address;
		const isHelper = (node: domain.NodeDescription): boolean =>
			node.address !== self && node.address !== subject.address;
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
		const start = Math.floor(random.fraction() * others.length);
		return [...others.slice(start), ...others.slice(0, start)].slice(0, SUBSTITUTE_HELPER_COUNT);
	};

	const askHelper = async (helper: domain.NodeDescription, subjectAddress: string, signal: AbortSignal) => {
		const reply = await request(
			helper.address,
			ports.PeerMessageKind.IndirectProbe,
			{subjectAddress, updates: exchange.takeUpdates(helper.address)},
			// The helper's own probe takes up to `probeTimeoutMs`, and the same again covers both ways to the helper.
			{timeoutMs: 2 * options.probeTimeoutMs, signal},
		);
		if (reply) {
			exchange.applyUpdates(reply.updates);
		}

		return reply;
	};

	/** With no third node to ask, a reply of the VM list shows that this node's own network works. */
	const verifyByVmList = async (signal: AbortSignal): Promise<Verification> => {
		const timed = await runWithTimeout({clock, timeoutMs: options.probeTimeoutMs, signal}, async taskSignal =>
			vmList.list(taskSignal),
		);
		return !timed.isTimedOut && timed.value.isOk() ? Verification.Unreached : Verification.Inconclusive;
	};

	return {
		probe,
		async measureRoundTripMs(address) {
			const startedAtMs = clock.monotonicMs();
			const reply = await request(
				address,
				// An indirect probe without a subject is answered at once and uses up no updates.
				ports.PeerMessageKind.IndirectProbe,
				{subjectAddress: '', updates: []},
				{timeoutMs: options.probeTimeoutMs, signal: new AbortController().signal},
			);
			return reply && clock.monotonicMs() - startedAtMs;
		},
		ringPeriod,
		async verify(node, suspectedForMs, signal) {
			if (await probe(node, signal)) {
				return Verification.Reached;
			}

			const helpers = chooseHelpers(node);
			if (helpers.length === 0) {
				return verifyByVmList(signal);
			}

			const answers = await Promise.all(helpers.map(async helper => askHelper(helper, node.address, signal)));
			const replies = answers.filter(reply => reply !== undefined);
			if (replies.length === 0) {
				return Verification.Inconclusive;
			}

			if (replies.some(reply => reply.isReached)) {
				return Verification.Reached;
			}

			return replies.some(reply => (reply.heardAgoMs ?? Infinity) < suspectedForMs)
				? Verification.HeardOnly
				: Verification.Unreached;
		},
	};
};

import * as ports from '../ports/index.js';
import {toUpdate, type MemberExchange} from './member-exchange.js';
import type {MemberTable} from './member-table.js';
import type {MemberVerifier} from './member-verifier.js';

/** Handlers of the membership messages that peers send. */
export type ProbeHandlers = Pick<ports.PeerHandlers, ports.PeerMessageKind.Probe | ports.PeerMessageKind.IndirectProbe>;

export const createProbeHandlers = (dependencies: {
	clock: ports.Clock;
	table: MemberTable;
	exchange: MemberExchange;
	verifier: MemberVerifier;
	appliedOffset: () => number;
}): ProbeHandlers => {
	const {clock, table, exchange, verifier} = dependencies;
	return {
		async [ports.PeerMessageKind.Probe]({sender, appliedOffset, silenceMs, updates}) {
			exchange.recordContact(sender, appliedOffset);
			exchange.applyUpdates(updates);
			return {
				responder: table.self(),
				appliedOffset: dependencies.appliedOffset(),
				updates: [...exchange.takeUpdates(sender.node.address), ...exchange.listMissedUpdates(silenceMs)],
			};
		},
		async [ports.PeerMessageKind.IndirectProbe]({subjectAddress, updates}, signal) {
			exchange.applyUpdates(updates);
			const subject = table.findMember(subjectAddress);
			const lastReceivedAtMs = subject?.lastReceivedAtMs;
			const isReached = subject !== undefined && (await verifier.probe(subject.node, signal));
			return {
				isReached,
				...(!isReached && lastReceivedAtMs !== undefined && {heardAgoMs: clock.monotonicMs() - lastReceivedAtMs}),
				// The requester may be in another region and have missed updates about the subject.
				updates: [table.findMember(subjectAddress)].filter(member => member !== undefined).map(toUpdate),
			};
		},
	};
};

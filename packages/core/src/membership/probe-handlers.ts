import * as ports from '../ports/index.js';
import {toUpdate, type MemberExchange} from './member-exchange.js';
import type {MemberTable} from './member-table.js';
import type {MemberVerifier} from './member-verifier.js';

/** Handlers of the messages that membership receives. */
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
			exchange.noteHeard(sender, appliedOffset);
			exchange.applyUpdates(updates);
			return {
				responder: table.self(),
				appliedOffset: dependencies.appliedOffset(),
				updates: [...exchange.takeUpdates(sender.node.address), ...exchange.listMissed(silenceMs)],
			};
		},
		async [ports.PeerMessageKind.IndirectProbe]({subjectAddress, updates}, signal) {
			exchange.applyUpdates(updates);
			const before = table.findMember(subjectAddress);
			const heardAtMs = before?.heardAtMs;
			const isReached = before !== undefined && (await verifier.probe(before.node, signal));
			return {
				isReached,
				...(!isReached && heardAtMs !== undefined && {heardAgoMs: clock.monotonicMs() - heardAtMs}),
				// A member of another region may have missed what became of the subject.
				updates: [table.findMember(subjectAddress)].filter(member => member !== undefined).map(toUpdate),
			};
		},
	};
};

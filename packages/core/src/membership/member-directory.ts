import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {EligibilityChange} from './eligible-nodes.js';
import {createMemberExchange} from './member-exchange.js';
import {createMemberTable, type MemberTable} from './member-table.js';
import {createMemberVerifier} from './member-verifier.js';
import {createFailureDetector} from './failure-detector.js';
import {DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions} from './membership-options.js';
import {createProbeHandlers, type ProbeHandlers} from './probe-handlers.js';
import {createUpdateQueue} from './update-queue.js';
import {createVmListReader} from './vm-list-reader.js';

/** This node's current view of the fleet's members. */
export type MemberDirectory = {
	readonly self: domain.NodeDescription;
	/** Rises whenever the set of eligible nodes changes. */
	version(): number;
	/** Rises whenever the set of eligible nodes of the region changes. */
	regionVersion(region: string): number;
	/** Nodes that may schedule groups in a region: those in state alive or suspect. */
	listEligibleNodes(region: string): readonly domain.NodeDescription[];
	/** Changes after the given version of the region; undefined when some of them are no longer kept. */
	listEligibleChanges(region: string, sinceVersion: number): readonly EligibilityChange[] | undefined;
	/** All members except those in state dead. */
	listLiveNodes(): readonly domain.NodeDescription[];
	/** State of the member at an address; undefined when it is not in the table. */
	stateOf(address: string): domain.MemberState | undefined;
	/** Whether the VM list marks the target at this address as leaving. */
	isTargetLeaving(address: string): boolean;
	/** Highest applied offset that any member has reported; -1 when none has. */
	highestKnownOffset(): number;
	/** Applied offset that a member last reported to this node; undefined when it has reported none. */
	appliedOffsetOf(address: string): number | undefined;
	/** All addresses for which {@link isTargetLeaving} holds. */
	listLeavingTargetAddresses(): readonly string[];
};

/** The member directory with the tasks that keep it up to date. */
export type Membership = {
	readonly directory: MemberDirectory;
	readonly peerHandlers: ProbeHandlers;
	/** Reads the VM list, announces this node, and then runs all tasks until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Marks this node as leaving and announces it, so that other nodes no longer select it. */
	announceLeaving(signal: AbortSignal): Promise<void>;
	/** Round trip to a node of another region, in ms; undefined when none replies in time. */
	measureRoundTripMs(region: string): Promise<number | undefined>;
};

/** Pause between two runs of the housekeeping, in ms. */
const HOUSEKEEPING_PERIOD_MS = 5000;

const IS_INACTIVE: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: false,
	[domain.MemberState.Suspect]: false,
	[domain.MemberState.SendOnly]: true,
	[domain.MemberState.Leaving]: true,
	[domain.MemberState.Dead]: true,
};

/**
 * Removes inactive members whose state has not changed since `beforeMs` and from which no message arrived since then.
 * Members in the VM list are kept, because the next reading of the list would add them again as alive.
 */
const removeInactiveMembers = (table: MemberTable, beforeMs: number): void => {
	table
		.list()
		.filter(member => IS_INACTIVE[member.state] && !member.isListed)
		.filter(member => Math.max(member.changedAtMs, member.lastReceivedAtMs ?? -Infinity) < beforeMs)
		.forEach(member => {
			table.remove(member.node.address);
		});
};

const listLiveMembers = (table: MemberTable): domain.NodeDescription[] =>
	table
		.list()
		.filter(member => member.state !== domain.MemberState.Dead)
		.map(member => member.node);

/** Sets the gauge of live nodes. A region whose last live node is gone is reported as 0. */
const reportLiveNodes = (table: MemberTable, metrics: ports.Metrics, seenRegions: Set<string>): void => {
	const regions = listLiveMembers(table).map(node => node.region);
	regions.forEach(region => seenRegions.add(region));
	const counts = new Map([...seenRegions].map(region => [region, 0]));
	regions.forEach(region => counts.set(region, counts.get(region)! + 1));
	counts.forEach((count, region) => {
		metrics.set(ports.GaugeName.LiveNodes, {region}, count);
	});
};

const createDirectory = (
	table: MemberTable,
	parts: Pick<MemberDirectory, 'self' | 'isTargetLeaving' | 'listLeavingTargetAddresses' | 'highestKnownOffset'>,
): MemberDirectory => ({
	...parts,
	version: table.eligible.version,
	regionVersion: table.eligible.regionVersion,
	listEligibleNodes: table.eligible.list,
	listEligibleChanges: table.eligible.listChanges,
	listLiveNodes: () => listLiveMembers(table),
	stateOf: address => table.findMember(address)?.state,
	appliedOffsetOf: address => table.findMember(address)?.appliedOffset,
});

export const createMembership = (dependencies: {
	ports: ports.NodePorts;
	self: domain.NodeDescription;
	/** Offset of the last catalogue record that this node has applied. */
	appliedOffset: () => number;
	options?: Partial<MembershipOptions>;
}): Membership => {
	const {self, appliedOffset} = dependencies;
	const {clock, metrics} = dependencies.ports;
	const options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...dependencies.options};
	const queue = createUpdateQueue({countMembers: () => table.count()});
	const table: MemberTable = createMemberTable({clock, self, queue});
	const exchange = createMemberExchange({ports: dependencies.ports, table, queue, options});
	const verifier = createMemberVerifier({ports: dependencies.ports, table, exchange, appliedOffset, options});
	const failureDetector = createFailureDetector({ports: dependencies.ports, table, verifier, options});
	const vmListReader = createVmListReader({ports: dependencies.ports, table, options});

	const runHousekeeping = async (signal: AbortSignal): Promise<void> => {
		const seenRegions = new Set<string>();
		while (!signal.aborted) {
			removeInactiveMembers(table, clock.monotonicMs() - options.inactiveRetentionMs);
			reportLiveNodes(table, metrics, seenRegions);
			await clock.sleep(HOUSEKEEPING_PERIOD_MS, signal);
		}
	};

	return {
		directory: createDirectory(table, {
			self,
			isTargetLeaving: vmListReader.isTargetLeaving,
			listLeavingTargetAddresses: vmListReader.listLeavingTargetAddresses,
			highestKnownOffset: exchange.highestKnownOffset,
		}),
		peerHandlers: createProbeHandlers({clock, table, exchange, verifier, appliedOffset}),
		async run(signal) {
			await vmListReader.refresh(signal);
			await failureDetector.announce(signal);
			await Promise.all([vmListReader.run(signal), failureDetector.run(signal), runHousekeeping(signal)]);
		},
		async measureRoundTripMs(region) {
			// A fixed peer keeps the round trips comparable. Nodes have different peers, so no peer serves all of them.
			const [peer] = rankByRendezvous(self.address, table.eligible.list(region), 1);
			return peer && verifier.measureRoundTripMs(peer.address);
		},
		async announceLeaving(signal) {
			table.markSelfLeaving();
			await failureDetector.announce(signal);
		},
	};
};

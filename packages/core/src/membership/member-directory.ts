import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import type {EligibilityChange} from './eligible-nodes.js';
import {createMemberExchange} from './member-exchange.js';
import {createMemberTable, type MemberTable} from './member-table.js';
import {createMemberVerifier} from './member-verifier.js';
import {createMemberWatcher} from './member-watcher.js';
import {DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions} from './membership-options.js';
import {createProbeHandlers, type ProbeHandlers} from './probe-handlers.js';
import {createUpdateQueue} from './update-queue.js';
import {createVmListReader} from './vm-list-reader.js';

/** The fleet as this node sees it. */
export type MemberDirectory = {
	readonly self: domain.NodeDescription;
	/** Rises whenever the set of eligible nodes changes. */
	version(): number;
	/** Rises whenever the set of eligible nodes of the region changes. */
	regionVersion(region: string): number;
	/** Nodes that may schedule groups in a region: believed alive, heard by others and not leaving. */
	listEligibleNodes(region: string): readonly domain.NodeDescription[];
	/** What changed after a version of the region; undefined when that is too long ago. */
	listEligibleChanges(region: string, sinceVersion: number): readonly EligibilityChange[] | undefined;
	/** All members that are not known to be dead. */
	listLiveNodes(): readonly domain.NodeDescription[];
	/** State of the member at an address; undefined when it is unknown or forgotten. */
	stateOf(address: string): domain.MemberState | undefined;
	/** Target addresses that the VM list calls leaving. */
	isTargetLeaving(address: string): boolean;
	/** Highest applied offset that any member has reported; -1 when none has. */
	highestKnownOffset(): number;
	/** Applied offset that a member last reported to this node; undefined when it has reported none. */
	appliedOffsetOf(address: string): number | undefined;
	/** All addresses for which {@link isTargetLeaving} holds. */
	listLeavingTargetAddresses(): readonly string[];
};

/** A directory that tasks keep up to date. */
export type Membership = {
	readonly directory: MemberDirectory;
	readonly peerHandlers: ProbeHandlers;
	run(signal: AbortSignal): Promise<void>;
	/** Tells the fleet that this node is leaving, so that it is no longer chosen. */
	announceLeaving(signal: AbortSignal): Promise<void>;
	/** Round trip to a node of another region, in ms; undefined when none replies in time. */
	measureRoundTripMs(region: string): Promise<number | undefined>;
};

/** Pause between two looks for members to forget, in ms. */
const HOUSEKEEPING_PERIOD_MS = 5000;

const IS_GONE: Record<domain.MemberState, boolean> = {
	[domain.MemberState.Alive]: false,
	[domain.MemberState.Suspect]: false,
	[domain.MemberState.Unheard]: true,
	[domain.MemberState.Leaving]: true,
	[domain.MemberState.Dead]: true,
};

/** Forgets members that have been gone for a while. One that the VM list still shows would be presumed alive again. */
const forgetGoneMembers = (table: MemberTable, beforeMs: number): void => {
	table
		.list()
		.filter(member => IS_GONE[member.state] && !member.isListed)
		.filter(member => Math.max(member.changedAtMs, member.heardAtMs ?? -Infinity) < beforeMs)
		.forEach(member => {
			table.forget(member.node.address);
		});
};

const listLiveMembers = (table: MemberTable): domain.NodeDescription[] =>
	table
		.list()
		.filter(member => member.state !== domain.MemberState.Dead)
		.map(member => member.node);

/** Sets the gauge of live nodes. Regions that have none left are reported with zero. */
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
	/** Offset of the last catalogue record in force on this node. */
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
	const watcher = createMemberWatcher({ports: dependencies.ports, table, verifier, options});
	const vmListReader = createVmListReader({ports: dependencies.ports, table, options});

	const keepHouse = async (signal: AbortSignal): Promise<void> => {
		const seenRegions = new Set<string>();
		while (!signal.aborted) {
			forgetGoneMembers(table, clock.monotonicMs() - options.forgetMs);
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
			await watcher.announce(signal);
			await Promise.all([vmListReader.run(signal), watcher.run(signal), keepHouse(signal)]);
		},
		async measureRoundTripMs(region) {
			// One node for each measuring node, so that round trips compare and no node answers all.
			const [peer] = rankByRendezvous(self.address, table.eligible.list(region), 1);
			return peer && verifier.measureRoundTripMs(peer.address);
		},
		async announceLeaving(signal) {
			table.leave();
			await watcher.announce(signal);
		},
	};
};

import type * as core from '@bilberrydoor/core';
import type {FakeFleet, FakeNode} from './fake-fleet.js';
import type {FakeTargetFault} from './fake-target.js';

/** Faults and planned changes that a simulation applies to a fleet. */
export enum FleetEventKind {
	KillNode = 'kill-node',
	/** Kills a node and starts another incarnation on its address. */
	RestartNode = 'restart-node',
	PauseNode = 'pause-node',
	ResumeNode = 'resume-node',
	/** Drains a node, which transfers its operation records to other nodes, and then stops it. */
	StopNode = 'stop-node',
	/** Drops all traffic from the node to the other node. */
	CutNodes = 'cut-nodes',
	/** Drops all traffic from the node to a target. */
	CutToTarget = 'cut-to-target',
	/** Drops all traffic from a target to the node. */
	CutFromTarget = 'cut-from-target',
	/** Removes all cuts. */
	Heal = 'heal',
	SetTargetFault = 'set-target-fault',
	/** Delivers messages between nodes twice from now on. */
	Duplicate = 'duplicate',
}

export type FleetEvent = {
	readonly atMs: number;
	readonly kind: FleetEventKind;
	/** Index of the affected node in `places`. */
	readonly nodeIndex: number;
	/** Index of the other node or of the target; larger indexes wrap around. */
	readonly otherIndex: number;
	readonly targetFault?: FakeTargetFault;
};

/** A fleet whose nodes are addressed by the index of their place, also when they restart as a new incarnation. */
export type EventFleet = {
	readonly fleet: FakeFleet;
	readonly places: ReadonlyArray<{
		readonly address: string;
		readonly region: string;
		readonly availabilityZone: string;
	}>;
	readonly targetIds: readonly string[];
	/** Current incarnation by index of its place; undefined after a planned stop or a kill. */
	readonly currentNodes: Array<FakeNode | undefined>;
};

const DUPLICATE_DELAY_MS = 40;
const DRAIN_OPTIONS = {noticeMs: 100, limitMs: 20_000};

const removeFromVmList = ({fleet}: EventFleet, address: string): void => {
	fleet.vmList.replace(fleet.vmList.items().filter(item => item.address !== address));
};

const killNode = (eventFleet: EventFleet, index: number): void => {
	const node = eventFleet.currentNodes[index];
	eventFleet.currentNodes[index] = undefined;
	node?.host.kill();
	node?.stop();
};

const stopNode = async (eventFleet: EventFleet, index: number): Promise<void> => {
	const node = eventFleet.currentNodes[index];
	if (node) {
		await node.node.drain(DRAIN_OPTIONS);
		removeFromVmList(eventFleet, node.address);
		if (eventFleet.currentNodes[index] === node) {
			killNode(eventFleet, index);
		}
	}
};

const findTargetAddress = ({fleet, targetIds}: EventFleet, index: number): string =>
	fleet.targets.get(targetIds[index % targetIds.length]!)!.entry.address;

const EVENT_HANDLERS: Record<FleetEventKind, (eventFleet: EventFleet, event: FleetEvent) => void> = {
	[FleetEventKind.KillNode](eventFleet, {nodeIndex}) {
		removeFromVmList(eventFleet, eventFleet.places[nodeIndex]!.address);
		killNode(eventFleet, nodeIndex);
	},
	[FleetEventKind.RestartNode](eventFleet, {nodeIndex}) {
		killNode(eventFleet, nodeIndex);
		eventFleet.currentNodes[nodeIndex] = eventFleet.fleet.startNode(eventFleet.places[nodeIndex]!);
	},
	[FleetEventKind.PauseNode](eventFleet, {nodeIndex}) {
		eventFleet.currentNodes[nodeIndex]?.host.pause();
	},
	[FleetEventKind.ResumeNode](eventFleet, {nodeIndex}) {
		eventFleet.currentNodes[nodeIndex]?.host.resume();
	},
	[FleetEventKind.StopNode](eventFleet, {nodeIndex}) {
		void stopNode(eventFleet, nodeIndex);
	},
	[FleetEventKind.CutNodes]({fleet, places}, {nodeIndex, otherIndex}) {
		fleet.network.cut(places[nodeIndex]!.address, places[otherIndex % places.length]!.address);
	},
	[FleetEventKind.CutToTarget](eventFleet, {nodeIndex, otherIndex}) {
		eventFleet.fleet.network.cut(eventFleet.places[nodeIndex]!.address, findTargetAddress(eventFleet, otherIndex));
	},
	[FleetEventKind.CutFromTarget](eventFleet, {nodeIndex, otherIndex}) {
		eventFleet.fleet.network.cut(findTargetAddress(eventFleet, otherIndex), eventFleet.places[nodeIndex]!.address);
	},
	[FleetEventKind.Heal]({fleet}) {
		fleet.network.heal();
	},
	[FleetEventKind.SetTargetFault]({fleet, targetIds}, {otherIndex, targetFault}) {
		fleet.targets.get(targetIds[otherIndex % targetIds.length]!)!.fault = targetFault!;
	},
	[FleetEventKind.Duplicate]({fleet}) {
		fleet.network.duplicateAfterMs = DUPLICATE_DELAY_MS;
	},
};

/** Applies an event immediately, regardless of its `atMs`. */
export const applyFleetEvent = (eventFleet: EventFleet, event: FleetEvent): void => {
	EVENT_HANDLERS[event.kind](eventFleet, event);
};

/** Applies each event at its time, relative to the start of the run. */
export const runFleetEvents = async (
	clock: core.Clock,
	eventFleet: EventFleet,
	events: readonly FleetEvent[],
): Promise<void> => {
	const startMs = clock.monotonicMs();
	for (const event of events.toSorted((left, right) => left.atMs - right.atMs)) {
		await clock.sleep(startMs + event.atMs - clock.monotonicMs());
		applyFleetEvent(eventFleet, event);
	}
};

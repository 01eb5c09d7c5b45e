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
	readonly node: number;
	/** Index of the other node or of the target; larger indexes wrap around. */
	readonly other: number;
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
	[FleetEventKind.KillNode](eventFleet, {node}) {
		removeFromVmList(eventFleet, eventFleet.places[node]!.address);
		killNode(eventFleet, node);
	},
	[FleetEventKind.RestartNode](eventFleet, {node}) {
		killNode(eventFleet, node);
		eventFleet.currentNodes[node] = eventFleet.fleet.startNode(eventFleet.places[node]!);
	},
	[FleetEventKind.PauseNode](eventFleet, {node}) {
		eventFleet.currentNodes[node]?.host.pause();
	},
	[FleetEventKind.ResumeNode](eventFleet, {node}) {
		eventFleet.currentNodes[node]?.host.resume();
	},
	[FleetEventKind.StopNode](eventFleet, {node}) {
		void stopNode(eventFleet, node);
	},
	[FleetEventKind.CutNodes]({fleet, places}, {node, other}) {
		fleet.network.cut(places[node]!.address, places[other % places.length]!.address);
	},
	[FleetEventKind.CutToTarget](eventFleet, {node, other}) {
		eventFleet.fleet.network.cut(eventFleet.places[node]!.address, findTargetAddress(eventFleet, other));
	},
	[FleetEventKind.CutFromTarget](eventFleet, {node, other}) {
		eventFleet.fleet.network.cut(findTargetAddress(eventFleet, other), eventFleet.places[node]!.address);
	},
	[FleetEventKind.Heal]({fleet}) {
		fleet.network.heal();
	},
	[FleetEventKind.SetTargetFault]({fleet, targetIds}, {other, targetFault}) {
		fleet.targets.get(targetIds[other % targetIds.length]!)!.fault = targetFault!;
	},
	[FleetEventKind.Duplicate]({fleet}) {
		fleet.network.duplicateAfterMs = DUPLICATE_DELAY_MS;
	},
};

/** Applies an event now. */
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

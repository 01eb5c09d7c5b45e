import type * as core from '@bilberrydoor/core';
import type {FakeFleet, FakeNode} from './fake-fleet.js';
import type {FakeTargetFault} from './fake-target.js';

/** Faults and planned changes of a fleet. */
export enum FleetEventKind {
	KillNode = 'kill-node',
	/** Kills a node and starts another incarnation on its address. */
	RestartNode = 'restart-node',
	PauseNode = 'pause-node',
	ResumeNode = 'resume-node',
	/** Stops a node as planned, with a hand-over. */
	StopNode = 'stop-node',
	/** Loses everything from the node to the other node. */
	CutNodes = 'cut-nodes',
	/** Loses everything from the node to a target. */
	CutToTarget = 'cut-to-target',
	/** Loses everything from a target to the node. */
	CutFromTarget = 'cut-from-target',
	Heal = 'heal',
	SetTargetFault = 'set-target-fault',
	/** Delivers messages between nodes twice. */
	Duplicate = 'duplicate',
}

export type FleetEvent = {
	readonly atMs: number;
	readonly kind: FleetEventKind;
	/** Index of the node that the event hits. */
	readonly node: number;
	/** Index of the other node or of the target. */
	readonly other: number;
	readonly targetFault?: FakeTargetFault;
};

/** A fleet whose nodes keep their places while their incarnations change. */
export type EventFleet = {
	readonly fleet: FakeFleet;
	readonly places: ReadonlyArray<{
		readonly address: string;
		readonly region: string;
		readonly availabilityZone: string;
	}>;
	readonly targetIds: readonly string[];
	/** Current incarnation by place; undefined after a planned stop or a kill. */
	readonly current: Array<FakeNode | undefined>;
};

const DUPLICATE_AFTER_MS = 40;
const DRAIN = {noticeMs: 100, limitMs: 20_000};

const removeFromVmList = ({fleet}: EventFleet, address: string): void => {
	fleet.vmList.replace(fleet.vmList.items().filter(item => item.address !== address));
};

const killNode = (eventFleet: EventFleet, index: number): void => {
	const node = eventFleet.current[index];
	eventFleet.current[index] = undefined;
	node?.host.kill();
	node?.stop();
};

const stopNode = async (eventFleet: EventFleet, index: number): Promise<void> => {
	const node = eventFleet.current[index];
	if (node) {
		await node.node.drain(DRAIN);
		removeFromVmList(eventFleet, node.address);
		if (eventFleet.current[index] === node) {
			killNode(eventFleet, index);
		}
	}
};

const targetAddress = ({fleet, targetIds}: EventFleet, index: number): string =>
	fleet.targets.get(targetIds[index % targetIds.length]!)!.entry.address;

const HANDLERS: Record<FleetEventKind, (eventFleet: EventFleet, event: FleetEvent) => void> = {
	[FleetEventKind.KillNode](eventFleet, {node}) {
		removeFromVmList(eventFleet, eventFleet.places[node]!.address);
		killNode(eventFleet, node);
	},
	[FleetEventKind.RestartNode](eventFleet, {node}) {
		killNode(eventFleet, node);
		eventFleet.current[node] = eventFleet.fleet.startNode(eventFleet.places[node]!);
	},
	[FleetEventKind.PauseNode](eventFleet, {node}) {
		eventFleet.current[node]?.host.pause();
	},
	[FleetEventKind.ResumeNode](eventFleet, {node}) {
		eventFleet.current[node]?.host.resume();
	},
	[FleetEventKind.StopNode](eventFleet, {node}) {
		void stopNode(eventFleet, node);
	},
	[FleetEventKind.CutNodes]({fleet, places}, {node, other}) {
		fleet.network.cut(places[node]!.address, places[other % places.length]!.address);
	},
	[FleetEventKind.CutToTarget](eventFleet, {node, other}) {
		eventFleet.fleet.network.cut(eventFleet.places[node]!.address, targetAddress(eventFleet, other));
	},
	[FleetEventKind.CutFromTarget](eventFleet, {node, other}) {
		eventFleet.fleet.network.cut(targetAddress(eventFleet, other), eventFleet.places[node]!.address);
	},
	[FleetEventKind.Heal]({fleet}) {
		fleet.network.heal();
	},
	[FleetEventKind.SetTargetFault]({fleet, targetIds}, {other, targetFault}) {
		fleet.targets.get(targetIds[other % targetIds.length]!)!.fault = targetFault!;
	},
	[FleetEventKind.Duplicate]({fleet}) {
		fleet.network.duplicateAfterMs = DUPLICATE_AFTER_MS;
	},
};

/** Lets an event happen now. */
export const applyFleetEvent = (eventFleet: EventFleet, event: FleetEvent): void => {
	HANDLERS[event.kind](eventFleet, event);
};

/** Lets each event happen at its time on the clock. */
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

import * as fakes from '@bilberrydoor/fakes';
import {type MeasuredFleet, type MeasuredNode, REGIONS, regionOf} from './measured-fleet.js';

/** Faults of the measurement `catalogue`. */
export enum CatalogueFault {
	LogOutage = 'log-outage',
	LostAppendAnswers = 'lost-append-answers',
	SlowLog = 'slow-log',
	DuplicateAppends = 'duplicate-appends',
	/** Messages from some nodes to all others are lost; messages to them arrive. */
	CutFromNodes = 'unheard-nodes',
	/** Messages to some nodes are lost, including those from the log. */
	CutToNodes = 'deaf-nodes',
	/** Messages from the region with the log to the other region are lost. */
	CutToRegion = 'deaf-region',
	PausedNodes = 'paused-nodes',
	Restarts = 'restarts',
	/** Nodes are replaced while the log is down, so that they load the catalogue from peers. */
	RestartsInOutage = 'restarts-in-outage',
}

/** A fault in progress, with the nodes that cannot receive records before `end` is called. */
export type ActiveFault = {readonly cutOffAddresses: readonly string[]; end(): void};

type FaultStarter = (fleet: MeasuredFleet, chosen: readonly MeasuredNode[]) => ActiveFault;

const listAllAddresses = (fleet: MeasuredFleet): string[] => fleet.nodes().map(({address}) => address);

const cutMessages = (fleet: MeasuredFleet, from: readonly string[], to: readonly string[]): void => {
	from.forEach(sender => {
		to.filter(receiver => receiver !== sender).forEach(receiver => {
			fleet.environment.network.cut(sender, receiver);
		});
	});
};

const createLogFaultStarter =
	(fault: fakes.FakeLogFault, isBlockingReads: boolean): FaultStarter =>
	fleet => {
		fleet.environment.log.fault = fault;
		return {
			cutOffAddresses: isBlockingReads ? listAllAddresses(fleet) : [],
			end() {
				fleet.environment.log.fault = fakes.FakeLogFault.None;
			},
		};
	};

const listAddressesOf = (nodes: readonly MeasuredNode[]): string[] => nodes.map(({address}) => address);

const createHeal =
	(fleet: MeasuredFleet): ActiveFault['end'] =>
	() => {
		fleet.environment.network.heal();
	};

/** Starts each fault. The result ends it. */
export const FAULT_STARTERS: Record<CatalogueFault, FaultStarter> = {
	[CatalogueFault.LogOutage]: createLogFaultStarter(fakes.FakeLogFault.Down, true),
	[CatalogueFault.LostAppendAnswers]: createLogFaultStarter(fakes.FakeLogFault.LoseAppendAnswers, false),
	[CatalogueFault.SlowLog]: createLogFaultStarter(fakes.FakeLogFault.Slow, true),
	[CatalogueFault.DuplicateAppends]: createLogFaultStarter(fakes.FakeLogFault.DuplicateAppends, false),
	[CatalogueFault.CutFromNodes](fleet, chosen) {
		cutMessages(fleet, listAddressesOf(chosen), listAllAddresses(fleet));
		return {cutOffAddresses: [], end: createHeal(fleet)};
	},
	[CatalogueFault.CutToNodes](fleet, chosen) {
		cutMessages(fleet, [...listAllAddresses(fleet), fakes.FAKE_LOG_ADDRESS], listAddressesOf(chosen));
		return {cutOffAddresses: listAddressesOf(chosen), end: createHeal(fleet)};
	},
	[CatalogueFault.CutToRegion](fleet) {
		const isRemote = (address: string): boolean => regionOf(address) !== REGIONS[0];
		const localAddresses = [...listAllAddresses(fleet).filter(address => !isRemote(address)), fakes.FAKE_LOG_ADDRESS];
		const remoteAddresses = listAllAddresses(fleet).filter(isRemote);
		cutMessages(fleet, localAddresses, remoteAddresses);
		return {cutOffAddresses: remoteAddresses, end: createHeal(fleet)};
	},
	[CatalogueFault.PausedNodes](_fleet, chosen) {
		chosen.forEach(({host}) => {
			host.pause();
		});
		return {
			cutOffAddresses: listAddressesOf(chosen),
			end() {
				chosen.forEach(({host}) => {
					host.resume();
				});
			},
		};
	},
	[CatalogueFault.Restarts](fleet, chosen) {
		chosen.forEach(({address}) => {
			fleet.startNode(address);
		});
		return {cutOffAddresses: [], end: () => undefined};
	},
	[CatalogueFault.RestartsInOutage](fleet, chosen) {
		const activeFault = FAULT_STARTERS[CatalogueFault.LogOutage](fleet, chosen);
		FAULT_STARTERS[CatalogueFault.Restarts](fleet, chosen);
		return activeFault;
	},
};

import * as fakes from '@bilberrydoor/fakes';
import {type MeasuredFleet, type MeasuredNode, REGIONS, regionOf} from './measured-fleet.js';

/** Faults of the scenario. */
export enum CatalogueFault {
	LogOutage = 'log-outage',
	LostAppendAnswers = 'lost-append-answers',
	SlowLog = 'slow-log',
	DuplicateAppends = 'duplicate-appends',
	/** Some nodes are heard by nobody, but hear the others. */
	UnheardNodes = 'unheard-nodes',
	/** Some nodes hear nobody, not even the log. */
	DeafNodes = 'deaf-nodes',
	/** The region without the log hears nothing from the other one. */
	DeafRegion = 'deaf-region',
	PausedNodes = 'paused-nodes',
	Restarts = 'restarts',
	/** Nodes are replaced while the log is down, so that they start from peers. */
	RestartsInOutage = 'restarts-in-outage',
}

/** What a fault did: which nodes had no way to any record until its end. */
export type FaultEffect = {readonly cutOffAddresses: readonly string[]; end(): void};

type BeginFault = (fleet: MeasuredFleet, chosen: readonly MeasuredNode[]) => FaultEffect;

const listAll = (fleet: MeasuredFleet): string[] => fleet.nodes().map(({address}) => address);

const cutAll = (fleet: MeasuredFleet, from: readonly string[], to: readonly string[]): void => {
	from.forEach(sender => {
		to.filter(receiver => receiver !== sender).forEach(receiver => {
			fleet.environment.network.cut(sender, receiver);
		});
	});
};

const beginLogFault =
	(fault: fakes.FakeLogFault, cutsOff: boolean): BeginFault =>
	fleet => {
		fleet.environment.log.fault = fault;
		return {
			cutOffAddresses: cutsOff ? listAll(fleet) : [],
			end() {
				fleet.environment.log.fault = fakes.FakeLogFault.None;
			},
		};
	};

const addressesOf = (nodes: readonly MeasuredNode[]): string[] => nodes.map(({address}) => address);

const heal =
	(fleet: MeasuredFleet): FaultEffect['end'] =>
	() => {
		fleet.environment.network.heal();
	};

/** How each fault begins, and how it ends. */
export const BEGIN_FAULT: Record<CatalogueFault, BeginFault> = {
	[CatalogueFault.LogOutage]: beginLogFault(fakes.FakeLogFault.Down, true),
	[CatalogueFault.LostAppendAnswers]: beginLogFault(fakes.FakeLogFault.LoseAppendAnswers, false),
	[CatalogueFault.SlowLog]: beginLogFault(fakes.FakeLogFault.Slow, true),
	[CatalogueFault.DuplicateAppends]: beginLogFault(fakes.FakeLogFault.DuplicateAppends, false),
	[CatalogueFault.UnheardNodes](fleet, chosen) {
		cutAll(fleet, addressesOf(chosen), listAll(fleet));
		return {cutOffAddresses: [], end: heal(fleet)};
	},
	[CatalogueFault.DeafNodes](fleet, chosen) {
		cutAll(fleet, [...listAll(fleet), fakes.FAKE_LOG_ADDRESS], addressesOf(chosen));
		return {cutOffAddresses: addressesOf(chosen), end: heal(fleet)};
	},
	[CatalogueFault.DeafRegion](fleet) {
		const isFar = (address: string): boolean => regionOf(address) !== REGIONS[0];
		const near = [...listAll(fleet).filter(address => !isFar(address)), fakes.FAKE_LOG_ADDRESS];
		const far = listAll(fleet).filter(isFar);
		cutAll(fleet, near, far);
		return {cutOffAddresses: far, end: heal(fleet)};
	},
	[CatalogueFault.PausedNodes](_fleet, chosen) {
		chosen.forEach(({host}) => {
			host.pause();
		});
		return {
			cutOffAddresses: addressesOf(chosen),
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
		const effect = BEGIN_FAULT[CatalogueFault.LogOutage](fleet, chosen);
		BEGIN_FAULT[CatalogueFault.Restarts](fleet, chosen);
		return effect;
	},
};

import type * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';
import {type MeasuredFleet, type MeasuredNode, regionOf, setLatencies} from './measured-fleet.js';

const OPERATOR: core.Operator = {name: 'operator', teams: ['*']};

/** Creates the product: complete nodes with fake adapters. */
export const createProductFleet = (options: {
	seed: number;
	catalogue?: Partial<core.CatalogueReplicatorOptions>;
}): MeasuredFleet => {
	const environment = fakes.createFakeFleet({seed: options.seed, settings: {catalogue: options.catalogue}});
	setLatencies(environment);
	const nodes = new Map<string, MeasuredNode>();
	return {
		environment,
		nodes: () => [...nodes.values()],
		startNode(address) {
			const region = regionOf(address);
			const {node, host} = environment.startNode({address, region, availabilityZone: `${region}-1`});
			const measured: MeasuredNode = {
				address,
				region,
				host,
				store: node.store,
				isReady: node.isReady,
				submitEdit: async request => node.administration.submitEdit(OPERATOR, request, new AbortController().signal),
			};
			nodes.set(address, measured);
			return measured;
		},
	};
};

import type * as domain from '@bilberrydoor/domain';
import type {Registry} from '../registry/registry.js';
import {createWorkspaceDirectory, type WorkspaceDirectory} from '../workspaces/workspace-directory.js';
import {createHostRoutes, type HostRoutes} from './host-routes.js';

/** The catalogue in force with indexes of its routes and workspaces. */
export type CatalogueIndex = {
	readonly catalogue: domain.FleetCatalogue;
	readonly routes: HostRoutes;
	/** Absent if calls need no key. */
	readonly workspaces: WorkspaceDirectory | undefined;
};

/** Returns a function that indexes the catalogue in force once for each version; undefined before the first catalogue. */
export const createCatalogueIndex = (registry: Pick<Registry, 'catalogue'>): (() => CatalogueIndex | undefined) => {
	let index: CatalogueIndex | undefined;
	return () => {
		const catalogue = registry.catalogue();
		if (catalogue && index?.catalogue !== catalogue) {
			index = {
				catalogue,
				routes: createHostRoutes(catalogue.routes, catalogue.unreadableRoutes),
				workspaces: catalogue.workspaces && createWorkspaceDirectory(catalogue.workspaces),
			};
		}

		return index;
	};
};

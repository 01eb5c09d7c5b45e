import type * as ports from '../ports/index.js';
import type {Registry} from '../registry/registry.js';
import {buildGroupId} from '../registry/target-index.js';
import type {ZoneOptions} from '../zones/zone-options.js';
import {DEFAULT_DISPATCHER_OPTIONS, type DispatcherOptions} from './dispatcher-options.js';
import {createGroupDispatcher, type GroupDispatcher} from './group-dispatcher.js';
import type {TargetNotices} from './target-notices.js';

export type DispatcherTableParts = {
	readonly registry: Registry;
	readonly options?: Partial<DispatcherOptions>;
	/** Decisions between zones; the defaults if absent. */
	readonly zoneOptions?: ZoneOptions;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly notices: TargetNotices;
};

/** The dispatchers that run on this node. Any node can become the dispatcher of any group. */
export type DispatcherTable = {
	/** The dispatcher of a group; created at the first call. */
	get(service: string, region: string): GroupDispatcher;
	/** The dispatcher of a group; undefined if it has had no call on this node. */
	find(service: string, region: string): GroupDispatcher | undefined;
	/** Changes options of all dispatchers, including those that are already running. */
	configure(changes: Partial<DispatcherOptions>): void;
};

export const createDispatcherTable = (parts: DispatcherTableParts): DispatcherTable => {
	const options: DispatcherOptions = {...DEFAULT_DISPATCHER_OPTIONS, ...parts.options};
	const dispatchers = new Map<string, GroupDispatcher>();
	return {
		find: (service, region) => dispatchers.get(buildGroupId(service, region)),
		get(service, region) {
			const groupId = buildGroupId(service, region);
			const existing = dispatchers.get(groupId);
			if (existing) {
				return existing;
			}

			const {registry, options: _options, ...shared} = parts;
			const listTargets = () => registry.targetsOf(service, region);
			const {valueOffset: readTargetOffset, valuePosition} = registry.replicas.targets;
			const readTargetEra = (targetId: string) => valuePosition(targetId)?.era;
			const positions = {readTargetOffset, readTargetEra};
			const dispatcher = createGroupDispatcher({...shared, groupId, options, listTargets, ...positions});
			dispatchers.set(groupId, dispatcher);
			return dispatcher;
		},
		configure(changes) {
			// All dispatchers share this object, so the change applies to running ones as well.
			Object.assign(options, changes);
		},
	};
};

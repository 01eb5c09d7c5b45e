import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';

/** The fleet node's ports with what its listeners need beside them. */
export type FleetPorts = {
	readonly ports: core.FleetNodePorts;
	readonly metricsRegistry: ReturnType<typeof adapters.createPrometheusMetrics>['registry'];
	close(): Promise<void>;
};

/** Builds the adapters that the settings ask for. */
export const buildFleetPorts = (settings: platform.PlatformSettings, logLevel: adapters.LogLevel): FleetPorts => {
	const {metrics, registry} = adapters.createPrometheusMetrics({hasProcessMetrics: false});
	const logger = adapters.createWinstonLogger({level: logLevel, fields: {node: settings.nodeId}, stream: 'stdout'});
	const store = platform.createHttpRegistryStore({
		address: settings.storeAddress,
		context: {regionsByZone: settings.regionsByZone},
		logger,
		metrics,
	});
	const peerClient = adapters.createFleetPeerClient();
	const targetClient = adapters.createFleetTargetClient({dialect: platform.PLATFORM_DIALECT});
	return {
		metricsRegistry: registry,
		ports: {
			clock: adapters.createSystemClock(),
			random: adapters.createSystemRandom(),
			logger,
			metrics,
			store,
			peerClient,
			targetClient,
		},
		async close() {
			await Promise.all([store.close(), peerClient.close(), targetClient.close()]);
		},
	};
};

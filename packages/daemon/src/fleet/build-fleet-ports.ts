import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';

/** The fleet node's ports, and the metrics registry that its listeners need in addition. */
export type FleetPorts = {
	readonly ports: core.FleetNodePorts;
	readonly metricsRegistry: ReturnType<typeof adapters.createPrometheusMetrics>['registry'];
	/** Closes all clients and writes the last log lines. */
	close(): Promise<void>;
};

/** Time limit for writing the last log lines, so that a stalled reader of the output does not keep the process running. */
const LOG_FLUSH_TIMEOUT_MS = 200;

/** Creates the adapters with the addresses and the node id from the settings. */
export const buildFleetPorts = (settings: platform.PlatformSettings, logLevel: adapters.LogLevel): FleetPorts => {
	const {metrics, registry} = adapters.createPrometheusMetrics({hasProcessMetrics: false});
	const fields = {node: settings.nodeId};
	const writer = adapters.createLineWriter({fields});
	const logger = adapters.createWinstonLogger({level: logLevel, fields, writer});
	const clock = adapters.createSystemClock();
	const store = platform.createHttpRegistryStore({
		address: settings.storeAddress,
		context: {regionsByZone: settings.regionsByZone},
		clock,
		logger,
		metrics,
	});
	const peerClient = adapters.createFleetPeerClient();
	const targetClient = adapters.createFleetTargetClient({dialect: platform.PLATFORM_DIALECT});
	return {
		metricsRegistry: registry,
		ports: {
			clock,
			random: adapters.createSystemRandom(),
			logger,
			metrics,
			store,
			peerClient,
			targetClient,
		},
		async close() {
			await Promise.all([store.close(), peerClient.close(), targetClient.close()]);
			await writer.flush(LOG_FLUSH_TIMEOUT_MS);
		},
	};
};

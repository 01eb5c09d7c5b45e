import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import type {LoadedSettings} from './load-settings.js';

/** The daemon's ports, and the envelope and metrics registry that its listeners need in addition. */
export type DaemonPorts = {
	readonly ports: core.NodePorts;
	readonly envelope: adapters.PeerEnvelope;
	readonly metricsRegistry: ReturnType<typeof adapters.createPrometheusMetrics>['registry'];
	close(): Promise<void>;
};

/** Creates the adapters with the addresses, timeouts and keys from the settings. */
export const buildPorts = ({settings, fleetKeys}: LoadedSettings): DaemonPorts => {
	const {metrics, registry} = adapters.createPrometheusMetrics();
	const authenticator = adapters.createFleetKeyAuthenticator(fleetKeys);
	const clock = adapters.createSystemClock();
	const random = adapters.createSystemRandom();
	const envelope = adapters.createPeerEnvelope({authenticator, clock, random});
	const targetClient = adapters.createUndiciTargetClient();
	const peerClient = adapters.createHttpPeerClient(envelope);
	const nodeLoad = adapters.createProcessLoad();
	const {logUrl, logStream, logTimeoutMs, vmListUrl} = settings.platform;
	return {
		envelope,
		metricsRegistry: registry,
		ports: {
			authenticator,
			catalogueCodec: adapters.createJsonCatalogueCodec(),
			clock,
			logService: adapters.createHttpLogService({url: logUrl, stream: logStream, timeoutMs: logTimeoutMs}),
			logger: adapters.createWinstonLogger({level: settings.logLevel, fields: {vmId: settings.vmId}}),
			metrics,
			nodeLoad,
			peerClient,
			random,
			targetClient,
			vmList: adapters.createHttpVmList({url: vmListUrl}),
		},
		async close() {
			nodeLoad.stop();
			await Promise.all([targetClient.close(), peerClient.close()]);
		},
	};
};

import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import type {LoadedSettings} from './load-settings.js';

/** The daemon's ports with what its listeners need beside them. */
export type DaemonPorts = {
	readonly ports: core.NodePorts;
	readonly envelope: adapters.PeerEnvelope;
	readonly registry: ReturnType<typeof adapters.createPrometheusMetrics>['registry'];
	close(): Promise<void>;
};

/** Builds the adapters that the settings ask for. */
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
		registry,
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

import * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';
import type {FleetPorts} from './build-fleet-ports.js';

export type FleetListeners = {
	readonly front: adapters.HttpListener;
	readonly readiness: adapters.HttpListener;
	readonly peer: adapters.HttpListener;
	readonly metrics: adapters.HttpListener | undefined;
};

/** Whether the node has been told to stop, and how far its stop is. */
export type StopProgress = {
	/** True from the stop signal on: the load balancer is to send no more callers. */
	isLeaving: boolean;
};

export type FleetListenerOptions = {
	readonly settings: platform.PlatformSettings;
	readonly fleetPorts: FleetPorts;
	readonly node: core.FleetNode;
	readonly stop: StopProgress;
	/** Port for metrics; none when absent. */
	readonly metricsPort: number | undefined;
};

/** Largest head of a caller's request; the catalogue's own limit is lower and changes while the listener runs. */
const FRONT_HEADER_LIMIT_BYTES = 65_536;

/** Leaves descriptors for targets, peers and the store out of the 4,100 of a node. */
const FRONT_CONNECTION_LIMIT = 3000;

/** Body limit until a catalogue is known. */
const INITIAL_BODY_LIMIT_BYTES = 1_048_576;

/** Peers keep idle connections for 4 s, so the listener never closes first. */
const PEER_KEEP_ALIVE_MS = 15_000;

/** Callers reuse connections that were idle for up to four fifths of the catalogue's time; this covers their clocks. */
const KEEP_ALIVE_MARGIN_MS = 1000;

const METRICS_PATH = '/metrics';

/** Applies the catalogue's idle time to the callers' connections whenever it changes. */
export const followIdleTimeout = async (
	front: adapters.HttpListener,
	registry: core.Registry,
	signal: AbortSignal,
): Promise<void> => {
	const waitMs = 30_000;
	while (!signal.aborted) {
		const limits = registry.catalogue()?.limits;
		if (limits) {
			front.setKeepAlive(limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS);
		}

		await registry.waitForChange(waitMs, signal);
	}
};

/** Starts the node's listeners. Rejects when an address cannot be bound. */
export const startFleetListeners = async (options: FleetListenerOptions): Promise<FleetListeners> => {
	const {settings, fleetPorts, node, stop} = options;
	const {clock, random, logger, metrics} = fleetPorts.ports;
	const proxyApp = adapters.createProxyApp({
		dialect: platform.PLATFORM_DIALECT,
		proxy: node.proxy,
		clock,
		random,
		logger,
		readBodyLimitBytes: () => node.registry.catalogue()?.limits.bodyLimitBytes ?? INITIAL_BODY_LIMIT_BYTES,
		isClosing: () => stop.isLeaving,
	});
	const peerApp = adapters.createFleetPeerApp({handlers: node.messageHandlers, logger, metrics});
	const readinessApp = adapters.createReadinessApp({
		path: platform.READINESS_PATH,
		isReady: () => !stop.isLeaving && node.isReady(),
	});
	return {
		peer: await adapters.startHttpListener(peerApp, {
			...adapters.splitAddress(settings.peerAddress),
			keepAliveMs: PEER_KEEP_ALIVE_MS,
		}),
		front: await adapters.startHttpListener(proxyApp, {
			...adapters.splitAddress(settings.frontAddress),
			headerLimitBytes: FRONT_HEADER_LIMIT_BYTES,
			connectionLimit: FRONT_CONNECTION_LIMIT,
		}),
		readiness: await adapters.startHttpListener(readinessApp, adapters.splitAddress(settings.readinessAddress)),
		metrics:
			options.metricsPort === undefined
				? undefined
				: await adapters.startHttpListener(adapters.createMetricsApp(METRICS_PATH, fleetPorts.metricsRegistry), {
						host: settings.ip,
						port: options.metricsPort,
					}),
	};
};

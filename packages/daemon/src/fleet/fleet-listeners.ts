import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';
import type {FleetPorts} from './build-fleet-ports.js';
import {deriveClientLimits, deriveHeldBytesOptions} from './client-limits.js';

export type FleetListeners = {
	readonly front: adapters.HttpListener;
	readonly readiness: adapters.HttpListener;
	readonly peer: adapters.HttpListener;
	readonly metrics: adapters.HttpListener | undefined;
};

/** Shutdown state of the node, which its listeners read. */
export type ShutdownState = {
	/** True from the stop signal on. Readiness then fails, so that the load balancer sends no more callers. */
	isLeaving: boolean;
};

export type FleetListenerOptions = {
	readonly settings: platform.PlatformSettings;
	readonly fleetPorts: FleetPorts;
	readonly node: core.FleetNode;
	readonly shutdownState: ShutdownState;
	/** Port for metrics; without one, no metrics listener is started. */
	readonly metricsPort: number | undefined;
};

/** Largest head that the HTTP parser reads, and the limit until the node has its first catalogue, in bytes. */
const FRONT_HEADER_LIMIT_BYTES = 65_536;

/** Body limit until the node has its first catalogue. */
const INITIAL_BODY_LIMIT_BYTES = 1_048_576;

/** Longer than the 4 s for which peers keep idle connections, so that the listener is never the first to close one. */
const PEER_KEEP_ALIVE_MS = 15_000;

/**
 * Added to the catalogue's idle timeout. Callers reuse connections that were idle for up to four fifths of that timeout; the
 * margin covers differences between clocks.
 */
const KEEP_ALIVE_MARGIN_MS = 1000;

/** Added to the catalogue's time limit for a request's head: the network delays its last bytes more than its first ones. */
const HEADER_TIMEOUT_MARGIN_MS = 500;

const METRICS_PATH = '/metrics';

/** Path at the metrics listener that explains where a request would go. */
const EXPLAIN_CALL_PATH = '/explain-call';

/** Applies the catalogue's time limits to the callers' connections whenever the registry changes. */
export const watchCallerTimeouts = async (
	front: adapters.HttpListener,
	registry: core.Registry,
	signal: AbortSignal,
): Promise<void> => {
	const maxChangeWaitMs = 30_000;
	while (!signal.aborted) {
		const limits = registry.catalogue()?.limits;
		if (limits) {
			front.setTimeouts({
				headersTimeoutMs: limits.headerTimeoutMs + HEADER_TIMEOUT_MARGIN_MS,
				keepAliveMs: limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
			});
		}

		await registry.waitForChange(maxChangeWaitMs, signal);
	}
};

/** Starts the node's listeners. Rejects when an address cannot be bound. */
export const startFleetListeners = async (options: FleetListenerOptions): Promise<FleetListeners> => {
	const {settings, fleetPorts, node, shutdownState} = options;
	const {clock, random, logger, metrics} = fleetPorts.ports;
	const getHeaderLimitBytes = (): number =>
		node.registry.catalogue()?.limits.headerLimitBytes ?? FRONT_HEADER_LIMIT_BYTES;
	const guard = adapters.createClientGuard({
		limits: deriveClientLimits(settings),
		held: core.createHeldBytes(deriveHeldBytesOptions(settings)),
		random,
		noteLimit: adapters.createClientLimitLog({logger, metrics}),
		requestIdHeader: platform.PLATFORM_DIALECT.requestIdHeader,
		getHeaderLimitBytes,
	});
	const proxyApp = adapters.createProxyApp({
		dialect: platform.PLATFORM_DIALECT,
		proxy: node.proxy,
		clock,
		random,
		logger,
		getHeaderLimitBytes,
		getBodyLimitBytes: () => node.registry.catalogue()?.limits.bodyLimitBytes ?? INITIAL_BODY_LIMIT_BYTES,
		isClosing: () => shutdownState.isLeaving,
		guard,
	});
	const peerApp = adapters.createFleetPeerApp({handlers: node.messageHandlers, logger, metrics});
	const readinessApp = adapters.createReadinessApp({
		path: platform.READINESS_PATH,
		isReady: () => !shutdownState.isLeaving && node.isReady(),
	});
	const metricsApp = adapters.addCallExplanation(
		adapters.createMetricsApp(METRICS_PATH, fleetPorts.metricsRegistry, {
			[core.WORKSPACES_PATH]: () => ({nodeId: node.self.nodeId, workspaces: node.quotas.list()}),
		}),
		EXPLAIN_CALL_PATH,
		node.explainCall,
	);
	return {
		peer: await adapters.startHttpListener(peerApp, {
			...adapters.splitAddress(settings.peerAddress),
			keepAliveMs: PEER_KEEP_ALIVE_MS,
		}),
		front: await adapters.startHttpListener(proxyApp, {
			...adapters.splitAddress(settings.frontAddress),
			headerLimitBytes: FRONT_HEADER_LIMIT_BYTES,
			logger,
			guard,
		}),
		readiness: await adapters.startHttpListener(readinessApp, adapters.splitAddress(settings.readinessAddress)),
		metrics:
			options.metricsPort === undefined
				? undefined
				: await adapters.startHttpListener(metricsApp, {host: settings.ip, port: options.metricsPort}),
	};
};

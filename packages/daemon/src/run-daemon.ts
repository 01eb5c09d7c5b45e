import process from 'node:process';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import {buildPorts, type DaemonPorts} from './build-ports.js';
import type {LoadedSettings} from './load-settings.js';

const EXIT_OK = 0;
const EXIT_CALLS_CUT_OFF = 3;

/** Forwarded calls carry the caller's whole request head in base64, so heads between peers are larger than callers' heads. */
const PEER_HEADER_LIMIT_BYTES = 65_536;

/** Snapshots are written several times per retention period, so that an outage of the log rarely prevents all of them. */
const SNAPSHOTS_PER_RETENTION = 4;

type Listeners = {
	readonly front: adapters.HttpListener;
	readonly peer: adapters.HttpListener;
	readonly operations: adapters.HttpListener;
};

const startListeners = async (
	loaded: LoadedSettings,
	daemonPorts: DaemonPorts,
	node: core.Node,
): Promise<Listeners> => {
	const {listeners} = loaded.settings;
	const {logger, random} = daemonPorts.ports;
	const peerApp = adapters.createPeerApp({node, envelope: daemonPorts.envelope, logger});
	const frontApp = adapters.createFrontApp({node, random, logger});
	const operationsApp = adapters.createOperationsApp({
		node,
		registry: daemonPorts.metricsRegistry,
		operators: loaded.settings.operators,
	});
	return {
		peer: await adapters.startHttpListener(peerApp, {
			...adapters.splitAddress(listeners.peer),
			headerLimitBytes: PEER_HEADER_LIMIT_BYTES,
		}),
		front: await adapters.startHttpListener(frontApp, adapters.splitAddress(listeners.front)),
		operations: await adapters.startHttpListener(operationsApp, adapters.splitAddress(listeners.operations)),
	};
};

const waitForStopSignal = async (): Promise<string> =>
	new Promise(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});

const buildNodeSettings = ({settings}: LoadedSettings): core.NodeSettings => {
	const peerPort = adapters.splitAddress(settings.listeners.peer).port;
	const operationsPort = adapters.splitAddress(settings.listeners.operations).port;
	return {
		self: {
			vmId: settings.vmId,
			address: `${settings.advertisedIp}:${peerPort}`,
			region: settings.region,
			availabilityZone: settings.availabilityZone,
			operationsAddress: `${settings.advertisedIp}:${operationsPort}`,
		},
		catalogue: {snapshots: {snapshotPeriodMs: settings.platform.logRetentionMs / SNAPSHOTS_PER_RETENTION}},
	};
};

/**
 * Runs a node until SIGTERM or SIGINT and then drains it; a second signal ends the drain early. Returns the exit code of
 * the process.
 */
export const runDaemon = async (loaded: LoadedSettings): Promise<number> => {
	const daemonPorts = buildPorts(loaded);
	const {logger} = daemonPorts.ports;
	const node = core.createNode({ports: daemonPorts.ports, settings: buildNodeSettings(loaded)});
	const listeners = await startListeners(loaded, daemonPorts, node);
	const controller = new AbortController();
	const tasks = node.run(controller.signal);
	logger.info('node started', {
		incarnationId: node.self.incarnationId,
		front: listeners.front.address,
		peer: listeners.peer.address,
		operations: listeners.operations.address,
	});

	const signalName = await waitForStopSignal();
	logger.info('drain started', {signal: signalName, ...loaded.settings.drain});
	const drained = await Promise.race([node.drain(loaded.settings.drain), waitForStopSignal()]);
	const cutCallCount = typeof drained === 'string' ? node.inFlightCount() : drained.cutCallCount;
	if (cutCallCount > 0) {
		logger.error('stopped with calls in flight', {cutCallCount, isForced: typeof drained === 'string'});
	}

	controller.abort();
	const allListeners = Object.values(listeners);
	if (cutCallCount > 0 || typeof drained === 'string') {
		allListeners.forEach(listener => {
			listener.destroy();
		});
	}

	await Promise.all([...allListeners.map(async listener => listener.close()), tasks, daemonPorts.close()]);
	logger.info('node stopped', {cutCallCount});
	return cutCallCount === 0 ? EXIT_OK : EXIT_CALLS_CUT_OFF;
};

import process from 'node:process';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {buildFleetPorts} from './build-fleet-ports.js';
import {drainFront} from './drain-front.js';
import {followSettings} from './follow-settings.js';
import {followIdleTimeout, startFleetListeners, type StopProgress} from './fleet-listeners.js';

export type FleetDaemonOptions = {
	readonly settings: platform.PlatformSettings;
	/** File that the settings came from. */
	readonly settingsFile: string;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	readonly metricsPort: number | undefined;
};

/** The process stops serving this long before the platform's kill. */
const KILL_MARGIN_MS = 1000;

/** Times within which the node's tasks and its connections to others end when it leaves. */
const TASKS_END_MS = 500;
const PORTS_CLOSE_MS = 250;

const waitForStopSignal = async (): Promise<string> =>
	new Promise(resolve => {
		process.once('SIGTERM', resolve);
		process.once('SIGINT', resolve);
	});

const describeSelf = (settings: platform.PlatformSettings, incarnationId: string) => ({
	nodeId: settings.nodeId,
	incarnationId,
	address: settings.peerAddress,
	region: settings.region,
	availabilityZone: settings.availabilityZone,
});

/** Runs a node of the fleet on the platform until it is told to stop. */
export const runFleetDaemon = async (options: FleetDaemonOptions): Promise<void> => {
	const {settings} = options;
	const fleetPorts = buildFleetPorts(settings, options.logLevel);
	const {clock, logger, random} = fleetPorts.ports;
	const node = core.createFleetNode({
		ports: fleetPorts.ports,
		settings: {
			self: describeSelf(settings, random.token()),
			seedAddresses: settings.seedAddresses,
			dispatcher: settings.dispatcher,
		},
	});
	const stop: StopProgress = {isLeaving: false};
	const listeners = await startFleetListeners({settings, fleetPorts, node, stop, metricsPort: options.metricsPort});
	const controller = new AbortController();
	const tasks = Promise.all([
		node.run(controller.signal),
		followIdleTimeout(listeners.front, node.registry, controller.signal),
		followSettings(
			{fileName: options.settingsFile, settings, clock, logger, applyDispatcher: node.dispatchers.configure},
			controller.signal,
		),
	]);
	logger.info('node started', {event: core.LogEvent.NodeStarted, incarnationId: node.self.incarnationId, ...settings});

	const signalName = await waitForStopSignal();
	stop.isLeaving = true;
	logger.info('node stopping', {event: core.LogEvent.NodeStopping, signal: signalName, callCount: node.countCalls()});
	const endsAtMs = clock.monotonicMs() + settings.graceMs - KILL_MARGIN_MS;
	void node.leave(endsAtMs);
	const cutCallCount = await drainFront(listeners.front, {clock, endsAtMs});
	controller.abort(core.STOP_REASON);
	logger.info('node stopped', {event: core.LogEvent.NodeStopped, cutCallCount});
	await Promise.race([tasks, clock.sleep(TASKS_END_MS)]);
	await Promise.race([fleetPorts.close(), clock.sleep(PORTS_CLOSE_MS)]);
};

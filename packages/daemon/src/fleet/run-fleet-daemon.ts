import process from 'node:process';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {buildFleetPorts} from './build-fleet-ports.js';
import {followSettings} from './follow-settings.js';
import {followIdleTimeout, startFleetListeners, type FleetListeners, type StopProgress} from './fleet-listeners.js';

export type FleetDaemonOptions = {
	readonly settings: platform.PlatformSettings;
	/** File that the settings came from. */
	readonly settingsFile: string;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	readonly metricsPort: number | undefined;
};

/** The load balancer asks once a second and stops sending callers after two misses. */
const ROTATION_MS = 2500;

/** The process ends this long before the platform's kill. */
const KILL_MARGIN_MS = 1000;

/** Time for the last answers to leave after the last call has ended: a second of a slow caller's link. */
const LAST_ANSWERS_MS = 1000;

/** How often a stopping node looks whether its last call has ended. */
const DRAIN_TURN_MS = 50;

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

/** Serves until the load balancer has stopped sending callers, then until the last call has ended. */
const drain = async (
	listeners: FleetListeners,
	options: {clock: core.Clock; graceMs: number; countCalls: () => number},
): Promise<number> => {
	const endAtMs = options.clock.monotonicMs() + options.graceMs - KILL_MARGIN_MS;
	await options.clock.sleep(ROTATION_MS);
	const closed = listeners.front.close();
	while (options.countCalls() > 0 && options.clock.monotonicMs() < endAtMs) {
		await options.clock.sleep(DRAIN_TURN_MS);
	}

	// A call ends when its answer begins to leave, so the connections tell when the last byte is out.
	const leftMs = Math.max(0, endAtMs - options.clock.monotonicMs());
	await Promise.race([closed, options.clock.sleep(Math.min(LAST_ANSWERS_MS, leftMs))]);
	return options.countCalls();
};

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
	void node.leave();
	const cutCallCount = await drain(listeners, {clock, graceMs: settings.graceMs, countCalls: node.countCalls});
	controller.abort(core.STOP_REASON);
	logger.info('node stopped', {event: core.LogEvent.NodeStopped, cutCallCount});
	await Promise.race([tasks, clock.sleep(KILL_MARGIN_MS / 2)]);
	await Promise.race([fleetPorts.close(), clock.sleep(KILL_MARGIN_MS / 4)]);
};

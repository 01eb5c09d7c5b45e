import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {buildFleetPorts} from './build-fleet-ports.js';
import {drainFront} from './drain-front.js';
import {SignalEffect, type SignalInbox} from './signal-inbox.js';
import {createReloadRequests} from './reload-requests.js';
import {createSettingsInForce} from './settings-in-force.js';
import {createSettingsWatch} from './watch-settings-file.js';
import {startFleetListeners, watchCallerTimeouts, type ShutdownState} from './fleet-listeners.js';

export type FleetDaemonOptions = {
	readonly settings: platform.PlatformSettings;
	/** Text of the settings file that the settings were parsed from. */
	readonly text: string;
	readonly signals: SignalInbox;
	/** Path of the file that the settings were read from. */
	readonly settingsFile: string;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	readonly metricsPort: number | undefined;
};

/** Fractions of the grace time: until requests are cut off, then for ending the node's tasks, and for closing its connections. */
const SERVING_RATIO = 5 / 6;
const TASKS_END_RATIO = 1 / 12;
const PORTS_CLOSE_RATIO = 1 / 24;

/** Time limit of the check of the settings file at a stop, in ms; a file system that hangs must not delay the stop. */
const LAST_CHECK_LIMIT_MS = 100;

const describeSelf = (settings: platform.PlatformSettings, incarnationId: string) => ({
	nodeId: settings.nodeId,
	incarnationId,
	address: settings.peerAddress,
	region: settings.region,
	availabilityZone: settings.availabilityZone,
	capacityCores: settings.capacityCores,
});

/** Runs a fleet node on the platform until SIGTERM or SIGINT, then drains it and ends its tasks. */
export const runFleetDaemon = async (options: FleetDaemonOptions): Promise<void> => {
	const {settings, signals} = options;
	const fleetPorts = buildFleetPorts(settings, options.logLevel);
	const {clock, logger, random} = fleetPorts.ports;
	/** Bounds that a change of the settings file changes while the process runs. */
	const bounds = {graceMs: settings.graceMs, targetHeartbeatMs: settings.targetHeartbeatMs};
	const reloadRequests = createReloadRequests(clock);
	signals.listen(({signal, effect}) => {
		logger.info('signal received', {event: core.LogEvent.SignalReceived, signal, effect});
		if (effect === SignalEffect.Reload) {
			reloadRequests.request();
		}
	});
	if (signals.isStopRequested()) {
		logger.info('node stopped before it listened', {event: core.LogEvent.NodeStopped, cutCallCount: 0});
		await Promise.race([fleetPorts.close(), clock.sleep(settings.graceMs * PORTS_CLOSE_RATIO)]);
		return;
	}

	const node = core.createFleetNode({
		ports: fleetPorts.ports,
		settings: {
			self: describeSelf(settings, random.token()),
			seedAddresses: settings.seedAddresses,
			dispatcher: settings.dispatcher,
			zones: settings.zones,
			quotas: settings.quotas,
			readTargetHeartbeatMs: () => bounds.targetHeartbeatMs,
		},
	});
	const shutdownState: ShutdownState = {isLeaving: false};
	const listeners = await startFleetListeners({
		settings,
		fleetPorts,
		node,
		shutdownState,
		metricsPort: options.metricsPort,
	});
	const settingsInForce = createSettingsInForce({
		settings,
		logger,
		handlers: {
			graceMs(graceMs) {
				bounds.graceMs = graceMs;
			},
			targetHeartbeatMs(targetHeartbeatMs) {
				bounds.targetHeartbeatMs = targetHeartbeatMs;
			},
			dispatcher(dispatcher) {
				node.dispatchers.configure({...core.DEFAULT_DISPATCHER_OPTIONS, ...dispatcher});
			},
			zones(zones) {
				node.configureZones(zones);
			},
			quotas(quotas) {
				node.quotas.configure(quotas);
			},
		},
	});
	const watchController = new AbortController();
	const settingsWatch = createSettingsWatch({
		fileName: options.settingsFile,
		text: options.text,
		reloadRequests,
		logger,
		adopt(changed) {
			if (!watchController.signal.aborted) {
				settingsInForce.adopt(changed);
			}
		},
	});
	const controller = new AbortController();
	const tasks = Promise.all([
		node.run(controller.signal),
		watchCallerTimeouts(listeners.front, node.registry, controller.signal),
		settingsWatch.run(watchController.signal),
	]);
	logger.info('node started', {event: core.LogEvent.NodeStarted, incarnationId: node.self.incarnationId, ...settings});

	const signalName = await signals.stopRequested;
	const stoppedAtMs = clock.monotonicMs();
	shutdownState.isLeaving = true;
	// The file may have changed since the last check. From here on, changes have no effect.
	await Promise.race([settingsWatch.check(), clock.sleep(LAST_CHECK_LIMIT_MS)]);
	watchController.abort(core.STOP_REASON);
	const {graceMs} = bounds;
	const callCount = node.countCalls();
	logger.info('node stopping', {event: core.LogEvent.NodeStopping, signal: signalName, callCount, graceMs});
	const endsAtMs = stoppedAtMs + graceMs * SERVING_RATIO;
	void node.leave(endsAtMs);
	const cutCallCount = await drainFront(listeners.front, {clock, endsAtMs});
	controller.abort(core.STOP_REASON);
	logger.info('node stopped', {event: core.LogEvent.NodeStopped, cutCallCount});
	await Promise.race([tasks, clock.sleep(graceMs * TASKS_END_RATIO)]);
	await Promise.race([fleetPorts.close(), clock.sleep(graceMs * PORTS_CLOSE_RATIO)]);
};

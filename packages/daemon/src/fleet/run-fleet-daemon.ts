import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {buildFleetPorts} from './build-fleet-ports.js';
import {drainFront} from './drain-front.js';
import {SignalEffect, type SignalInbox} from './signal-inbox.js';
import {watchSettingsFile} from './watch-settings-file.js';
import {startFleetListeners, watchCallerTimeouts, type ShutdownState} from './fleet-listeners.js';

export type FleetDaemonOptions = {
	readonly settings: platform.PlatformSettings;
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
	const reloadNotifier = core.createChangeNotifier(clock);
	signals.listen(({signal, effect}) => {
		logger.info('signal received', {event: core.LogEvent.SignalReceived, signal, effect});
		if (effect === SignalEffect.Reload) {
			reloadNotifier.notifyAll();
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
			targetHeartbeatMs: settings.targetHeartbeatMs,
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
	const controller = new AbortController();
	const tasks = Promise.all([
		node.run(controller.signal),
		watchCallerTimeouts(listeners.front, node.registry, controller.signal),
		watchSettingsFile(
			{
				fileName: options.settingsFile,
				settings,
				reloadNotifier,
				logger,
				applyDispatcherOptions: node.dispatchers.configure,
			},
			controller.signal,
		),
	]);
	logger.info('node started', {event: core.LogEvent.NodeStarted, incarnationId: node.self.incarnationId, ...settings});

	const signalName = await signals.stopRequested;
	shutdownState.isLeaving = true;
	logger.info('node stopping', {event: core.LogEvent.NodeStopping, signal: signalName, callCount: node.countCalls()});
	const endsAtMs = clock.monotonicMs() + settings.graceMs * SERVING_RATIO;
	void node.leave(endsAtMs);
	const cutCallCount = await drainFront(listeners.front, {clock, endsAtMs});
	controller.abort(core.STOP_REASON);
	logger.info('node stopped', {event: core.LogEvent.NodeStopped, cutCallCount});
	await Promise.race([tasks, clock.sleep(settings.graceMs * TASKS_END_RATIO)]);
	await Promise.race([fleetPorts.close(), clock.sleep(settings.graceMs * PORTS_CLOSE_RATIO)]);
};

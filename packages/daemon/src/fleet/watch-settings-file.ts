import * as fs from 'node:fs/promises';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {loadFleetSettings} from './load-fleet-settings.js';

export type WatchSettingsFileOptions = {
	readonly fileName: string;
	readonly settings: platform.PlatformSettings;
	/** Wakes up the periodic check. */
	readonly reloadNotifier: core.ChangeNotifier;
	readonly logger: core.Logger;
	/** Applies new options to the dispatchers. */
	readonly applyDispatcherOptions: (dispatcher: Partial<core.DispatcherOptions>) => void;
};

/** The file is polled because it may change without a signal and the platform offers no file change notifications. */
const CHECK_INTERVAL_MS = 5000;

const readModifiedMs = async (fileName: string, logger: core.Logger): Promise<number> => {
	try {
		const {mtimeMs} = await fs.stat(fileName);
		return mtimeMs;
	} catch (error) {
		logger.warn('settings file cannot be read', {
			event: core.LogEvent.SettingsUnreadable,
			fileName,
			detail: String(error),
		});
		return 0;
	}
};

/**
 * Reloads the settings whenever the modification time of the file has changed, which is checked periodically and when the
 * notifier says so. Only the dispatcher options are applied; changed addresses take effect at the next start.
 */
export const watchSettingsFile = async (options: WatchSettingsFileOptions, signal: AbortSignal): Promise<void> => {
	const {fileName, reloadNotifier, logger} = options;
	let modifiedMs = await readModifiedMs(fileName, logger);
	while (!signal.aborted) {
		await reloadNotifier.wait(CHECK_INTERVAL_MS, signal);
		const newModifiedMs = await readModifiedMs(fileName, logger);
		if (signal.aborted || newModifiedMs === modifiedMs) {
			continue;
		}

		modifiedMs = newModifiedMs;
		const loaded = await loadFleetSettings(fileName);
		if (loaded.isErr()) {
			logger.error('changed settings are invalid; keeping the previous settings', {
				event: core.LogEvent.ReloadFailed,
				problems: loaded.error,
			});
			continue;
		}

		options.applyDispatcherOptions(loaded.value.dispatcher);
		logger.info('settings reloaded', {event: core.LogEvent.SettingsReloaded, dispatcher: loaded.value.dispatcher});
	}
};

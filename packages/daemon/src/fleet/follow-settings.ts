import * as fs from 'node:fs/promises';
import process from 'node:process';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {loadFleetSettings} from './load-fleet-settings.js';

export type FollowSettingsOptions = {
	readonly fileName: string;
	readonly settings: platform.PlatformSettings;
	readonly clock: core.Clock;
	readonly logger: core.Logger;
	/** Takes over the bounds of the dispatchers. */
	readonly applyDispatcher: (dispatcher: Partial<core.DispatcherOptions>) => void;
};

/** The file may change without a signal, and its notifications are not available on the platform. */
const CHECK_PERIOD_MS = 5000;

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

/** Reads the settings again when the file changes or SIGHUP comes. Addresses are taken over at the next start only. */
export const followSettings = async (options: FollowSettingsOptions, signal: AbortSignal): Promise<void> => {
	const {fileName, clock, logger} = options;
	const gate = core.createChangeGate(clock);
	const wake = (): void => {
		gate.announce();
	};

	process.on('SIGHUP', wake);
	let modifiedMs = await readModifiedMs(fileName, logger);
	while (!signal.aborted) {
		await gate.wait(CHECK_PERIOD_MS, signal);
		const newModifiedMs = await readModifiedMs(fileName, logger);
		if (signal.aborted || newModifiedMs === modifiedMs) {
			continue;
		}

		modifiedMs = newModifiedMs;
		const loaded = await loadFleetSettings(fileName);
		if (loaded.isErr()) {
			logger.error('changed settings are not valid and stay unused', {
				event: core.LogEvent.ReloadFailed,
				problems: loaded.error,
			});
			continue;
		}

		options.applyDispatcher(loaded.value.dispatcher);
		logger.info('settings reloaded', {event: core.LogEvent.SettingsReloaded, dispatcher: loaded.value.dispatcher});
	}

	process.off('SIGHUP', wake);
};

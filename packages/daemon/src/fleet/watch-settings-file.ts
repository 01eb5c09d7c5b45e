import * as fs from 'node:fs/promises';
import * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';
import {parseFleetSettings} from './load-fleet-settings.js';
import type {ReloadRequests} from './reload-requests.js';

export type SettingsWatchOptions = {
	readonly fileName: string;
	/** Text of the file from which the settings in force were parsed. */
	readonly text: string;
	readonly reloadRequests: ReloadRequests;
	readonly logger: core.Logger;
	/** Called with the settings of a changed file that are valid. */
	readonly adopt: (settings: platform.PlatformSettings) => void;
};

/** Reloads the settings when the text of their file has changed. */
export type SettingsWatch = {
	/** Checks the file at each request, and periodically, until the signal is aborted. The first check follows at once. */
	run(signal: AbortSignal): Promise<void>;
	/** Checks the file after the checks that are running. Never rejects. */
	check(): Promise<void>;
};

/** The file is polled because it may change without a signal and the platform offers no file change notifications. */
const CHECK_INTERVAL_MS = 5000;

/**
 * Compares the text and not the modification time, which does not show a change before the first check, nor two changes within
 * one tick of the file system's clock. An invalid file leaves the settings as they are.
 */
export const createSettingsWatch = (options: SettingsWatchOptions): SettingsWatch => {
	const {fileName, logger} = options;
	let lastText = options.text;
	let lastCheck = Promise.resolve();

	const readText = async (): Promise<string> => {
		try {
			return await fs.readFile(fileName, 'utf8');
		} catch (error) {
			const detail = String(error);
			logger.warn('settings file cannot be read', {event: core.LogEvent.SettingsUnreadable, fileName, detail});
			return lastText;
		}
	};

	const checkOnce = async (): Promise<void> => {
		const text = await readText();
		if (text === lastText) {
			return;
		}

		lastText = text;
		parseFleetSettings(fileName, text).match(options.adopt, problems => {
			logger.error('changed settings are invalid; keeping the previous settings', {
				event: core.LogEvent.ReloadFailed,
				problems,
			});
		});
	};

	const checkAfter = async (previousCheck: Promise<void>): Promise<void> => {
		await previousCheck;
		await checkOnce();
	};

	const check = async (): Promise<void> => {
		lastCheck = checkAfter(lastCheck);
		await lastCheck;
	};

	return {
		async run(signal) {
			while (!signal.aborted) {
				await check();
				await options.reloadRequests.wait(CHECK_INTERVAL_MS, signal);
			}
		},
		check,
	};
};

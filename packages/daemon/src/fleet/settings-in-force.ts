import * as util from 'node:util';
import * as core from '@bilberrydoor/core';
import * as platform from '@bilberrydoor/platform';

type Field = keyof platform.PlatformSettings;

/** Applies the new value of each setting that a running process uses at once. */
export type SettingHandlers = {
	readonly [Applied in platform.AppliedSetting]: (value: platform.PlatformSettings[Applied]) => void;
};

/** The settings of a running process, of which some change with the settings file. */
export type SettingsInForce = {
	/** Applies the fields that take effect at once, and warns of changed ones that wait for the next start. */
	adopt(settings: platform.PlatformSettings): void;
};

/** Maps are logged with their entries. */
const toLogValue = (value: unknown): unknown => (value instanceof Map ? Object.fromEntries(value) : value);

export const createSettingsInForce = (options: {
	readonly settings: platform.PlatformSettings;
	readonly handlers: SettingHandlers;
	readonly logger: core.Logger;
}): SettingsInForce => {
	const {logger, handlers} = options;
	const started = options.settings;
	/** The settings of the file when they were last adopted. */
	let last = started;

	const applyField = <Applied extends platform.AppliedSetting>(
		field: Applied,
		settings: platform.PlatformSettings,
	): void => {
		handlers[field](settings[field]);
	};

	const warnOfField = (field: Field, settings: platform.PlatformSettings): void => {
		if (!util.isDeepStrictEqual(settings[field], started[field])) {
			logger.warn('changed setting takes effect when the process is started again', {
				event: core.LogEvent.SettingNeedsRestart,
				field,
				inUse: toLogValue(started[field]),
				inFile: toLogValue(settings[field]),
			});
		}
	};

	const adopters: Record<platform.SettingEffect, (field: Field, settings: platform.PlatformSettings) => void> = {
		[platform.SettingEffect.AtOnce](field, settings) {
			applyField(field as platform.AppliedSetting, settings);
		},
		[platform.SettingEffect.NextStart]: warnOfField,
	};

	return {
		adopt(settings) {
			const fields = Object.keys(platform.SETTING_EFFECTS) as Field[];
			const changed = fields.filter(field => !util.isDeepStrictEqual(settings[field], last[field]));
			last = settings;
			changed.forEach(field => {
				adopters[platform.SETTING_EFFECTS[field]](field, settings);
			});
			const applied = changed.filter(field => platform.SETTING_EFFECTS[field] === platform.SettingEffect.AtOnce);
			logger.info('settings reloaded', {
				event: core.LogEvent.SettingsReloaded,
				applied: Object.fromEntries(applied.map(field => [field, toLogValue(settings[field])])),
			});
		},
	};
};

import * as fs from 'node:fs/promises';
import * as platform from '@bilberrydoor/platform';
import * as neverthrow from 'neverthrow';

/** Settings with the text that they were parsed from. */
export type LoadedSettings = {readonly settings: platform.PlatformSettings; readonly text: string};

/** Validates the text of the settings file. Errors are messages for the operator. */
export const parseFleetSettings = (
	fileName: string,
	text: string,
): neverthrow.Result<platform.PlatformSettings, readonly string[]> =>
	platform.parsePlatformSettings(text).mapErr(problems => problems.map(problem => `${fileName}: ${problem}`));

/** Reads and validates the settings file that the platform has written. Errors are messages for the operator. */
export const loadFleetSettings = async (
	fileName: string,
): Promise<neverthrow.Result<LoadedSettings, readonly string[]>> => {
	try {
		const text = await fs.readFile(fileName, 'utf8');
		return parseFleetSettings(fileName, text).map(settings => ({settings, text}));
	} catch (error) {
		return neverthrow.err([`settings file ${fileName} cannot be read: ${String(error)}`]);
	}
};

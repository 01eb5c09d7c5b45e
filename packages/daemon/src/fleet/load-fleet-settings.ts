import * as fs from 'node:fs/promises';
import * as platform from '@bilberrydoor/platform';
import * as neverthrow from 'neverthrow';

/** Reads and validates the settings file that the platform has written. Errors are messages for the operator. */
export const loadFleetSettings = async (
	fileName: string,
): Promise<neverthrow.Result<platform.PlatformSettings, readonly string[]>> => {
	try {
		const text = await fs.readFile(fileName, 'utf8');
		return platform.parsePlatformSettings(text).mapErr(problems => problems.map(problem => `${fileName}: ${problem}`));
	} catch (error) {
		return neverthrow.err([`settings file ${fileName} cannot be read: ${String(error)}`]);
	}
};

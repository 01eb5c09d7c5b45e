import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as adapters from '@bilberrydoor/adapters';
import * as neverthrow from 'neverthrow';

/** Validated settings of the daemon and the keys read from the fleet key file. */
export type LoadedSettings = {
	readonly settings: adapters.DaemonSettings;
	readonly fleetKeys: readonly string[];
};

const FLEET_KEY_MIN_LENGTH_CHARACTERS = 16;

const readFile = async (fileName: string, label: string): Promise<neverthrow.Result<string, readonly string[]>> => {
	try {
		return neverthrow.ok(await fs.readFile(fileName, 'utf8'));
	} catch (error) {
		return neverthrow.err([`${label} file ${fileName} cannot be read: ${String(error)}`]);
	}
};

const loadFleetKeys = async (fileName: string): Promise<neverthrow.Result<readonly string[], readonly string[]>> => {
	const text = await readFile(fileName, 'fleet key');
	return text.andThen(content => {
		const keys = content
			.split('\n')
			.map(line => line.trim())
			.filter(line => line !== '' && !line.startsWith('#'));
		const isValid = keys.length > 0 && keys.every(key => key.length >= FLEET_KEY_MIN_LENGTH_CHARACTERS);
		return isValid
			? neverthrow.ok(keys)
			: neverthrow.err([
					`${fileName}: must contain at least one key of at least ${FLEET_KEY_MIN_LENGTH_CHARACTERS} characters, one per line`,
				]);
	});
};

/** Reads and validates the settings and the fleet key file. Errors are messages for the operator. */
export const loadSettings = async (fileName: string): Promise<neverthrow.Result<LoadedSettings, readonly string[]>> => {
	const text = await readFile(fileName, 'settings');
	if (text.isErr()) {
		return neverthrow.err(text.error);
	}

	const parsed = adapters.parseDocument({fileName, text: text.value, schema: adapters.daemonSettingsSchema});
	if (parsed.isErr()) {
		return neverthrow.err(parsed.error.map(adapters.formatProblem));
	}

	const keyFile = path.resolve(path.dirname(fileName), parsed.value.fleetKeyFile);
	const fleetKeys = await loadFleetKeys(keyFile);
	return fleetKeys.map(keys => ({settings: parsed.value, fleetKeys: keys}));
};

/** Formats the message that `--check` prints for valid settings. */
export const describeValidSettings = (fileName: string, {settings}: LoadedSettings): string =>
	`${fileName}: valid settings for VM ${settings.vmId} in ${settings.region}/${settings.availabilityZone}`;

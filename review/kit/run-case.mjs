// Runs a case and records what happens in it.
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as shared from './shared.mjs';

/** Creates a log that is written to `record.txt` in the folder of the case. */
const createRecord = folder => {
	const lines = [];
	const startedAtMs = performance.now();
	return {
		add(text) {
			lines.push(`${shared.formatSeconds(performance.now() - startedAtMs)} ${text}`);
		},
		save() {
			fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		},
	};
};

/** Runs a case and exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
export const runCase = async (folder, run) => {
	const record = createRecord(folder);
	const cleanUps = [];
	const end = code => {
		cleanUps.toReversed().forEach(cleanUp => cleanUp());
		record.add(`result: ${['the rule held', 'the rule was broken', 'the case could not run'][code]}`);
		record.save();
		process.exit(code);
	};

	process.once('SIGTERM', () => end(2));
	process.once('SIGINT', () => end(2));
	setTimeout(() => {
		record.add('the case took too long');
		end(2);
	}, 110_000);
	try {
		const isBroken = await run({record, onEnd: cleanUp => cleanUps.push(cleanUp)});
		end(isBroken ? 1 : 0);
	} catch (error) {
		record.add(String(error?.stack ?? error));
		console.error(error);
		end(2);
	}
};

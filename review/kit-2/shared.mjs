// Small helpers of the cases: free addresses, waiting, the record of a run, and the ending of all child processes.
import {spawn} from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

/** False for the control run, which leaves the disruption out. */
export const isTroubled = process.env.TROUBLE !== '0';

export const sleep = async ms =>
	new Promise(resolve => {
		setTimeout(resolve, ms);
	});

const startedAtMs = performance.now();

/** Seconds since the start of the script. */
export const elapsedS = () => Number(((performance.now() - startedAtMs) / 1000).toFixed(3));

/** Polls a condition; throws an error that ends the run as one that could not take place. */
export const waitFor = async (condition, description, timeoutMs = 15_000) => {
	const endAtMs = performance.now() + timeoutMs;
	while (!(await condition())) {
		if (performance.now() > endAtMs) {
			throw new Error(`not reached within ${timeoutMs} ms: ${description}`);
		}

		await sleep(20);
	}
};

/** A loopback network of its own for each run, so that runs beside each other use different addresses. */
const networkNumber = 1 + (process.pid % 250);
const blockNumber = 64 + (Math.floor(process.pid / 250) % 64);

/** The address of the given number in the run's network. */
export const ip = number => `127.${blockNumber}.${networkNumber}.${number}`;

/** A port that is free at the given address. */
export const findPort = async host =>
	new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});

export const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bilberrydoor-review-'));

const children = new Set();

/** Starts a child process that is ended with the script. */
export const startChild = (command, args, options) => {
	const child = spawn(command, args, options);
	children.add(child);
	child.once('exit', () => {
		children.delete(child);
	});
	return child;
};

const endChildren = () => {
	children.forEach(child => {
		child.kill('SIGKILL');
	});
	fs.rmSync(folder, {recursive: true, force: true});
};

process.once('exit', endChildren);
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach(signal => {
	process.once(signal, () => {
		process.exit(2);
	});
});

/** The longest time that a run may take, in ms. */
const RUN_LIMIT_MS = 110_000;

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The case gets `note`, which
 * adds a line to the record, and returns the list of breaks.
 */
export const runCase = async (caseFolder, play) => {
	const recordFile = path.join(caseFolder, 'record.txt');
	fs.writeFileSync(recordFile, `disruption: ${isTroubled ? 'yes' : 'no (TROUBLE=0)'}\n`);
	const note = text => {
		fs.appendFileSync(recordFile, `${elapsedS().toFixed(3).padStart(8)} s  ${text}\n`);
	};

	const limit = setTimeout(() => {
		note('the run took too long');
		process.exit(2);
	}, RUN_LIMIT_MS);
	try {
		const breaks = await play(note);
		breaks.forEach(text => {
			note(`BROKEN: ${text}`);
		});
		note(breaks.length > 0 ? `the rule was broken ${breaks.length} times` : 'the rule held');
		clearTimeout(limit);
		process.exit(breaks.length > 0 ? 1 : 0);
	} catch (error) {
		note(`the case could not run: ${error.stack}`);
		process.exit(2);
	}
};

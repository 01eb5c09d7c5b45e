// Runs the test suite and compares its failures with KNOWN-RED.txt: only tests that are listed there may fail, and they
// are printed. Ends with a line that counts passed and failed tests.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';
import * as readline from 'node:readline';

const KNOWN_RED_FILE = new URL('../KNOWN-RED.txt', import.meta.url);

const readKnownRedTitles = () =>
	fs.existsSync(KNOWN_RED_FILE)
		? fs
				.readFileSync(KNOWN_RED_FILE, 'utf8')
				.split('\n')
				.filter(line => line.startsWith('test: '))
				.map(line => line.slice('test: '.length).trim())
		: [];

const knownRedTitles = new Set(readKnownRedTitles());
const passed = [];
const failed = [];

/** Runs AVA, adds the titles of its tests to the results, and returns its exit code and whether it printed its closing line. */
const runAva = async parameters => {
	const ava = childProcess.spawn('npx', ['--no-install', 'ava', '--tap', ...parameters], {
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	let isComplete = false;
	for await (const line of readline.createInterface({input: ava.stdout})) {
		const match = /^(ok|not ok) \d+ - (.*?)( # .*)?$/.exec(line);
		if (match) {
			(match[1] === 'ok' ? passed : failed).push(match[2]);
		}

		isComplete ||= /^1\.\.\d+$/.test(line);
		process.stdout.write(`${line}\n`);
	}

	const exitCode = await new Promise(resolve => {
		if (ava.exitCode === null) {
			ava.once('exit', resolve);
		} else {
			resolve(ava.exitCode);
		}
	});
	return {exitCode, isComplete};
};

/** Runs of AVA, one after the other. The second one has the tests that may not run beside others. */
const RUNS = process.argv.length > 2 ? [process.argv.slice(2)] : [[], ['--config', 'ava.alone.config.js']];
// A non-zero exit code without a failed test, and a run without its closing line, mean that the test runner itself has crashed. A run
// without tests counts as such.
let isCrashed = false;
for (const parameters of RUNS) {
	const countBefore = {passed: passed.length, failed: failed.length};
	const {exitCode, isComplete} = await runAva(parameters);
	const isWithoutFailure = failed.length === countBefore.failed;
	const isEmpty = isWithoutFailure && passed.length === countBefore.passed;
	isCrashed ||= !isComplete || isEmpty || (exitCode !== 0 && isWithoutFailure);
}

const unexpected = failed.filter(title => !knownRedTitles.has(title));
const expected = failed.filter(title => knownRedTitles.has(title));
for (const title of expected) {
	process.stdout.write(`known red: ${title}\n`);
}

for (const title of unexpected) {
	process.stdout.write(`failed: ${title}\n`);
}

process.stdout.write(`${passed.length} passed, ${unexpected.length} failed\n`);
process.exitCode = unexpected.length > 0 || isCrashed ? 1 : 0;

import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import {buildProgram} from '../build-program.js';
import {ExitCode} from '../exit-code.js';

const at = (second: number): string => new Date(Date.UTC(2026, 11, 4, 8, 0, second)).toISOString();

const EDGE_LINES = [
	{timestamp: at(1), node: 'edge-1', event: 'catalogue-in-force', version: 7},
	{
		timestamp: at(20),
		node: 'edge-1',
		event: 'attempt-ended',
		requestId: 'wanted',
		targetId: 'i-1',
		dispatcher: 'edge-2',
	},
	{
		timestamp: at(20),
		node: 'edge-1',
		event: 'attempt-ended',
		requestId: 'other',
		targetId: 'i-1',
		dispatcher: 'edge-2',
	},
	{timestamp: at(21), node: 'edge-1', event: 'call-ended', requestId: 'wanted', outcome: 'failed', elapsedMs: 1500},
];
const DISPATCHER_LINES = [
	{timestamp: at(10), node: 'edge-2', event: 'target-set-aside', targetId: 'i-1', standings: {sound: 2}},
	{timestamp: at(11), node: 'edge-2', event: 'target-set-aside', targetId: 'i-2'},
	{timestamp: at(12), node: 'edge-2', event: 'store-lost', detail: 'no answer'},
	{timestamp: at(13), node: 'edge-3', event: 'store-lost', detail: 'no answer'},
	{timestamp: at(30), node: 'edge-2', event: 'target-set-aside', targetId: 'i-1'},
];

const runTrace = async (requestId: string, files: Readonly<Record<string, string>>) => {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'bilberryctl-trace-'));
	const fileNames = Object.keys(files).map(name => path.join(folder, name));
	await Promise.all(Object.entries(files).map(async ([name, text]) => fs.writeFile(path.join(folder, name), text)));
	const result = {exitCode: -1, output: ''};
	const program = buildProgram({
		writeOutput(text) {
			result.output += text;
		},
		writeError(text) {
			result.output += text;
		},
		finish(exitCode) {
			result.exitCode = exitCode;
		},
	});
	await program.parseAsync(['trace', requestId, ...fileNames], {from: 'user'});
	await fs.rm(folder, {recursive: true});
	return result;
};

const writeLog = (lines: readonly unknown[], prefix = ''): string =>
	lines.map(line => `${prefix}${JSON.stringify(line)}\n`).join('');

// Guards against a trace that leaves out why a target was chosen, or drowns it in other requests.
test('a trace joins the lines of several nodes in the order of time and leaves out the rest', async t => {
	const files = {
		'edge-1.log': writeLog(EDGE_LINES, '  20.1 edge-1 '),
		'edge-2.log': `not a log line {\n${writeLog(DISPATCHER_LINES)}`,
	};
	const {exitCode, output} = await runTrace('wanted', files);
	t.is(exitCode, ExitCode.Ok);
	const events = output
		.trim()
		.split('\n')
		.map(line => line.split('  ').slice(1, 3).join(' '));
	t.deepEqual(events, ['edge-2 target-set-aside', 'edge-2 store-lost', 'edge-1 attempt-ended', 'edge-1 call-ended']);
	t.regex(output, /standings={"sound":2}/);
});

test('a request that no file names, and a file that is missing, have exit codes of their own', async t => {
	const files = {'edge-1.log': writeLog(EDGE_LINES)};
	t.is((await runTrace('unknown', files)).exitCode, ExitCode.NotFound);
	const missing = {exitCode: -1};
	const ignore = () => undefined;
	const program = buildProgram({
		writeOutput: ignore,
		writeError: ignore,
		finish(exitCode) {
			missing.exitCode = exitCode;
		},
	});
	await program.parseAsync(['trace', 'wanted', '/missing.log'], {from: 'user'});
	t.is(missing.exitCode, ExitCode.InvalidInput);
});

import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import test from 'ava';
import {buildProgram} from '../build-program.js';
import {ExitCode} from '../exit-code.js';

const buildTimestamp = (second: number): string => new Date(Date.UTC(2026, 11, 4, 8, 0, second)).toISOString();

const ENTRY_NODE_LINES = [
	{timestamp: buildTimestamp(1), node: 'edge-1', event: 'catalogue-in-force', version: 7},
	{
		timestamp: buildTimestamp(20),
		node: 'edge-1',
		event: 'attempt-ended',
		requestId: 'wanted',
		targetId: 'i-1',
		dispatcher: 'edge-2',
	},
	{
		timestamp: buildTimestamp(20),
		node: 'edge-1',
		event: 'attempt-ended',
		requestId: 'other',
		targetId: 'i-1',
		dispatcher: 'edge-2',
	},
	{
		timestamp: buildTimestamp(21),
		node: 'edge-1',
		event: 'call-ended',
		requestId: 'wanted',
		outcome: 'failed',
		elapsedMs: 1500,
	},
];
const DISPATCHER_LINES = [
	{timestamp: buildTimestamp(10), node: 'edge-2', event: 'target-set-aside', targetId: 'i-1', standings: {sound: 2}},
	{timestamp: buildTimestamp(11), node: 'edge-2', event: 'target-set-aside', targetId: 'i-2'},
	{timestamp: buildTimestamp(12), node: 'edge-2', event: 'store-lost', detail: 'no answer'},
	{timestamp: buildTimestamp(13), node: 'edge-3', event: 'store-lost', detail: 'no answer'},
	{timestamp: buildTimestamp(30), node: 'edge-2', event: 'target-set-aside', targetId: 'i-1'},
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

// Guards against a trace that omits lines on the choice of a target, or includes lines of other requests.
test('a trace merges the related lines of several nodes in order of time and omits all others', async t => {
	const files = {
		'edge-1.log': writeLog(ENTRY_NODE_LINES, '  20.1 edge-1 '),
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

test('an unknown request and a missing file give different exit codes', async t => {
	const files = {'edge-1.log': writeLog(ENTRY_NODE_LINES)};
	t.is((await runTrace('unknown', files)).exitCode, ExitCode.NotFound);
	const result = {exitCode: -1};
	const ignore = () => undefined;
	const program = buildProgram({
		writeOutput: ignore,
		writeError: ignore,
		finish(exitCode) {
			result.exitCode = exitCode;
		},
	});
	await program.parseAsync(['trace', 'wanted', '/missing.log'], {from: 'user'});
	t.is(result.exitCode, ExitCode.InvalidInput);
});

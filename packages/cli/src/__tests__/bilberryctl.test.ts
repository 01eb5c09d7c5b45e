import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as standIns from '@bilberrydoor/stand-ins';
import test from 'ava';
import type * as commander from 'commander';
import * as undici from 'undici';
import {buildProgram} from '../build-program.js';

const NODE_PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};

const writeEntry = async (
	fleet: standIns.LaunchedFleet,
	fields: Record<string, unknown>,
	name = 'ratiba',
): Promise<string> => {
	const file = path.join(fleet.directory, `${name}.jsonc`);
	const entry = {
		schemaVersion: 1,
		service: name,
		owner: 'drainage',
		routes: [{pathPrefix: `/${name}`, methods: ['GET'], repeatability: 'repeatable'}],
		targets: [{targetId: `${name}-01`, address: '127.0.0.1:7001', ...NODE_PLACE, slotCount: 4}],
		...fields,
	};
	await fs.writeFile(file, `// Entry for a test.\n${JSON.stringify(entry, undefined, '\t')}\n`);
	return file;
};

const setLogFault = async (fleet: standIns.LaunchedFleet, fault: string): Promise<void> => {
	const reply = await undici.request(`http://${fleet.logAddress}/fault/${fault}`, {method: 'PUT'});
	await reply.body.dump();
};

/** Runs the program in this process, which is much faster than a process for each command. */
const runCommand = async (
	fleet: standIns.LaunchedFleet,
	args: readonly string[],
): Promise<{exitCode: number; output: string}> => {
	const result = {exitCode: -1, output: '', errors: ''};
	const program = buildProgram({
		writeOutput(text) {
			result.output += text;
		},
		writeError(text) {
			result.errors += text;
		},
		finish(exitCode) {
			result.exitCode = exitCode;
		},
	}).exitOverride();
	try {
		const globals = ['--node', `http://${fleet.nodes[0]!.operations}`, '--token', fleet.token];
		await program.parseAsync([...globals, ...args], {from: 'user'});
	} catch (error) {
		result.exitCode = (error as commander.CommanderError).exitCode;
		result.errors += String(error);
	}

	return {exitCode: result.exitCode, output: result.output + result.errors};
};

// Guards against changes to the output and the exit codes that scripts rely on.
test('the commands work on a fleet, with stable exit codes', async t => {
	const fleet = await standIns.launchFleet({nodePlaces: [NODE_PLACE, NODE_PLACE], logLevel: 'error', isQuiet: true});
	const run = async (exitCode: number, pattern: RegExp, ...args: string[]): Promise<string> => {
		const result = await runCommand(fleet, args);
		t.is(result.exitCode, exitCode, `${args.join(' ')}: ${result.output}`);
		t.regex(result.output, pattern);
		return result.output;
	};

	try {
		const file = await writeEntry(fleet, {});
		const broken = await writeEntry(fleet, {owner: 7}, 'picha');
		const twin = await writeEntry(fleet, {service: 'ratiba'}, 'twin');
		await run(0, /ratiba\.jsonc: valid entry of service ratiba/, 'catalogue', 'lint', file);
		await run(2, /picha\.jsonc:5: owner must be of type string, got 7/, 'catalogue', 'lint', broken);
		await run(2, /twin\.jsonc: service ratiba is also in .*ratiba\.jsonc/, 'catalogue', 'lint', file, twin);
		await run(2, /name either entry files or one service/, 'catalogue', 'apply');
		await fleet.waitUntilReady();
		await run(9, /differences from revision 0/, 'catalogue', 'diff', file);
		await run(0, /accepted, revision 1[^]*in force on 2 of 2 live nodes/, 'catalogue', 'apply', '--wait', file);
		await run(0, /0 differences from revision 1/, 'catalogue', 'diff', file);
		await writeEntry(fleet, {floorSlotCount: 2});
		await run(9, /floorSlotCount: 0 -> 2/, 'catalogue', 'diff', file);

		// An apply that is repeated after an uncertain answer keeps its edit id, so the edit is applied once.
		await setLogFault(fleet, 'down');
		await run(4, /not-yet-known/, 'catalogue', 'apply', file);
		const {editId} = JSON.parse(await fs.readFile(`${file}.pending-edit`, 'utf8')) as {editId: string};
		await setLogFault(fleet, 'none');
		await run(0, new RegExp(`accepted, revision 2[^]*repeating edit ${editId}`), 'catalogue', 'apply', file);
		await t.throwsAsync(fs.access(`${file}.pending-edit`));
		await run(0, new RegExp(`"editId": "${editId}"`), '--output', 'json', 'catalogue', 'list');

		await run(0, /Revision 2 of ratiba by operator/, 'catalogue', 'get', 'ratiba');
		await run(0, /revision +author[^]*1 +operator[^]*2 +operator/, 'catalogue', 'history', 'ratiba');
		await run(0, /accepted, revision 3/, 'catalogue', 'revert', 'ratiba', '1');
		await run(3, /rejected, revision 3[^]*floorSlotCount/, ...'catalogue revert ratiba 2 --base-revision 1'.split(' '));
		await run(7, /no content of revision 9/, 'catalogue', 'revert', 'ratiba', '9');
		await run(0, /ratiba +drainage +3/, 'services');
		await run(0, /service ratiba[^]*ratiba\/pwani\/0 +127/, 'explain', '/ratiba/sheets');
		await run(7, /unknown-route/, 'explain', '/nothing');
		await run(0, /vm-1[^]*vm-2[^]*0 of 2 nodes lag behind/, 'fleet', 'status');
		await run(0, /group +target/, 'targets');
		await run(7, /the operation id is malformed/, 'operations', 'show', 'id');
		await run(0, /accepted, revision 4/, 'catalogue', 'apply', '--remove', 'ratiba');
		await run(0, /ratiba +\(removed\)/, 'catalogue', 'list');
		await run(8, /bearer token is missing or belongs to no operator/, '--token', 'guess', 'catalogue', 'list');
		await run(5, /cannot be reached/, '--node', 'http://127.0.0.1:1', 'catalogue', 'list');
		await run(1, /unknown command/, 'eject');
	} finally {
		await fleet.stop();
	}
});

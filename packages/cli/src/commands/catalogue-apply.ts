import * as crypto from 'node:crypto';
import * as core from '@bilberrydoor/core';
import type {Command, CommandContext} from '../command.js';
import {type EntryFile, loadEntryFiles} from '../entry-files.js';
import {ExitCode} from '../exit-code.js';
import {deletePendingEdit, savePendingEdit, type PendingEdit, readPendingEdit} from '../pending-edit.js';
import {describeReport, OUTCOME_EXIT_CODES, readItem, submitEdit} from '../submit-edit.js';
import {waitUntilInForce} from '../wait-until-in-force.js';

const MILLISECONDS_PER_SECOND = 1000;

type ApplyResult = {readonly exitCode: ExitCode; readonly report?: core.EditReport; readonly lines: readonly string[]};

const buildFailure = (exitCode: ExitCode, message: string): ApplyResult => ({exitCode, lines: [message]});

/** Resumes a stored edit of unknown outcome, or creates one based on the current revision. */
const resumeOrCreateEdit = async (context: CommandContext, file: EntryFile, revision: number): Promise<PendingEdit> => {
	const pending = await readPendingEdit(file.fileName, file.entry);
	if (pending) {
		context.report(`${file.entry.service}: repeating edit ${pending.editId} on revision ${pending.baseRevision}`);
		return pending;
	}

	return savePendingEdit(file.fileName, file.entry, revision);
};

const applyFile = async (context: CommandContext, file: EntryFile): Promise<ApplyResult> => {
	const {client} = context;
	const {entry, fileName} = file;
	const item = await readItem(client, entry.service);
	if (item.isErr()) {
		return buildFailure(item.error.exitCode, `${entry.service}: ${item.error.message}`);
	}

	const {editId, baseRevision} = await resumeOrCreateEdit(context, file, item.value?.revision ?? 0);
	const report = await submitEdit(client, {editId, service: entry.service, baseRevision, entry});
	if (report.isErr()) {
		const {exitCode, message} = report.error;
		// Without an answer the outcome is unknown. With any other failure, the node refused the edit without appending it.
		const isUndecided = exitCode === ExitCode.Unreachable;
		await (isUndecided ? undefined : deletePendingEdit(fileName));
		const hint = isUndecided ? `; edit ${editId} may have been accepted, so repeat the command` : '';
		return buildFailure(isUndecided ? ExitCode.NotYetKnown : exitCode, `${entry.service}: ${message}${hint}`);
	}

	const {outcome} = report.value;
	if (outcome !== core.EditOutcome.NotYetKnown) {
		await deletePendingEdit(fileName);
	}

	return {
		exitCode: OUTCOME_EXIT_CODES[outcome],
		report: report.value,
		lines: await describeReport(client, entry.service, report.value, entry),
	};
};

const removeService = async ({client, options}: CommandContext, service: string): Promise<ApplyResult> => {
	const item = await readItem(client, service);
	if (item.isErr()) {
		return buildFailure(item.error.exitCode, `${service}: ${item.error.message}`);
	}

	const baseRevision = Number(options.baseRevision ?? item.value?.revision ?? 0);
	const editId = String(options.editId ?? crypto.randomUUID());
	const report = await submitEdit(client, {editId, service, baseRevision});
	const hint = `repeat with --edit-id ${editId} --base-revision ${baseRevision}`;
	return report.match(
		({outcome, ...reportFields}) => ({
			exitCode: OUTCOME_EXIT_CODES[outcome],
			report: {outcome, ...reportFields},
			lines: [
				`${service}: ${outcome}, revision ${reportFields.revision}: ${reportFields.detail}`,
				...(outcome === core.EditOutcome.NotYetKnown ? [hint] : []),
			],
		}),
		({exitCode, message}) => buildFailure(exitCode, `${service}: ${message}; ${hint}`),
	);
};

const waitForAcceptedEdits = async (context: CommandContext, applied: readonly ApplyResult[]): Promise<ExitCode> => {
	const offsets = applied.flatMap(({exitCode, report}) =>
		exitCode === ExitCode.Ok && report?.offset !== undefined ? [report.offset] : [],
	);
	const limitMs = Number(context.options.waitLimitS) * MILLISECONDS_PER_SECOND;
	return offsets.length > 0 && context.options.wait === true
		? waitUntilInForce(context, Math.max(...offsets), limitMs)
		: ExitCode.Ok;
};

/** Publishes entries. The first failure decides the exit code. */
export const catalogueApply: Command = {
	usage: '[files...]',
	description: 'publish entries from files in JSON with comments',
	options: [
		{flags: '--wait', description: 'show progress until the edits are in force on all live nodes'},
		{flags: '--wait-limit-s <seconds>', description: 'longest wait', defaultValue: '60'},
		{flags: '--remove <service>', description: 'remove the entry of a service'},
		{flags: '--edit-id <id>', description: 'edit id of a removal that is repeated'},
		{flags: '--base-revision <number>', description: 'base revision of a removal that is repeated'},
	],
	async run(context) {
		const {args, options, print, report} = context;
		if ((args.length === 0) === (options.remove === undefined)) {
			report('name either entry files or one service with --remove');
			return ExitCode.InvalidInput;
		}

		const files = await loadEntryFiles(args);
		if (files.isErr()) {
			files.error.forEach(report);
			return ExitCode.InvalidInput;
		}

		const applied: ApplyResult[] = [];
		for (const file of files.value) {
			applied.push(await applyFile(context, file));
		}

		if (options.remove !== undefined) {
			applied.push(await removeService(context, String(options.remove)));
		}

		print({
			json: applied.map(({exitCode, report: editReport, lines}) => editReport ?? {exitCode, error: lines.join('\n')}),
			lines: applied.flatMap(({lines}) => lines),
		});
		const waitExitCode = await waitForAcceptedEdits(context, applied);
		return applied.map(({exitCode}) => exitCode).find(exitCode => exitCode !== ExitCode.Ok) ?? waitExitCode;
	},
};

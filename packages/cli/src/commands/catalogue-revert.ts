import * as crypto from 'node:crypto';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {describeReport, OUTCOME_EXIT_CODES, readItem, submitEdit} from '../submit-edit.js';

/** Publishes the content of an earlier revision as a new edit. */
export const catalogueRevert: Command = {
	usage: '<service> <revision>',
	description: 'publish the content of an earlier revision as a new edit',
	options: [
		{flags: '--edit-id <id>', description: 'edit id of a revert that is repeated'},
		{flags: '--base-revision <number>', description: 'base revision of a revert that is repeated'},
	],
	async run({client, args, options, print, report}) {
		const [service = '', revision = ''] = args;
		const path = `/-/admin/entries/${encodeURIComponent(service)}/revisions/${encodeURIComponent(revision)}`;
		const earlier = await client.get<domain.CatalogueItem>(path);
		const current = await readItem(client, service);
		if (earlier.isErr() || current.isErr()) {
			const failure = earlier.isErr() ? earlier.error : current._unsafeUnwrapErr();
			report(failure.message);
			return failure.exitCode;
		}

		const baseRevision = Number(options.baseRevision ?? current.value?.revision ?? 0);
		const editId = String(options.editId ?? crypto.randomUUID());
		const {entry} = earlier.value;
		const edited = await submitEdit(client, {editId, service, baseRevision, ...(entry && {entry})});
		const hint = `repeat with --edit-id ${editId} --base-revision ${baseRevision}`;
		if (edited.isErr()) {
			report(`${edited.error.message}; ${hint}`);
			return edited.error.exitCode;
		}

		const {outcome} = edited.value;
		if (outcome === core.EditOutcome.NotYetKnown) {
			report(hint);
		}

		print({json: edited.value, lines: await describeReport(client, service, edited.value, entry)});
		return OUTCOME_EXIT_CODES[outcome] ?? ExitCode.Unreachable;
	},
};

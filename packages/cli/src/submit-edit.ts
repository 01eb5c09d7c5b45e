import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {ExitCode} from './exit-code.js';
import {formatDifference, listDifferences} from './list-differences.js';
import type {ClientFailure, NodeClient} from './node-client.js';

const OUTCOME_VALUES = new Set<string>(Object.values(core.EditOutcome));

export const OUTCOME_EXIT_CODES: Record<core.EditOutcome, ExitCode> = {
	[core.EditOutcome.Accepted]: ExitCode.Ok,
	[core.EditOutcome.Rejected]: ExitCode.Rejected,
	[core.EditOutcome.NotYetKnown]: ExitCode.NotYetKnown,
};

const isEditReport = (reply: unknown): reply is core.EditReport =>
	OUTCOME_VALUES.has(String((reply as {outcome?: unknown} | undefined)?.outcome));

/** Submits one edit. The report of a refused edit is a success here, not a failure of the request. */
export const submitEdit = async (
	client: NodeClient,
	request: core.EditRequest,
): Promise<neverthrow.Result<core.EditReport, ClientFailure>> => client.post('/-/admin/edits', request, isEditReport);

/** Reads the item in force; undefined for an unknown service. */
export const readItem = async (
	client: NodeClient,
	service: string,
): Promise<neverthrow.Result<domain.CatalogueItem | undefined, ClientFailure>> => {
	const item = await client.get<domain.CatalogueItem>(`/-/admin/entries/${encodeURIComponent(service)}`);
	return item.isErr() && item.error.exitCode === ExitCode.NotFound ? neverthrow.ok(undefined) : item;
};

/** Formats a report. After a stale base revision, lists how the entry in force differs from the rejected one. */
export const describeReport = async (
	client: NodeClient,
	service: string,
	report: core.EditReport,
	entry: domain.CatalogueEntry | undefined,
): Promise<string[]> => {
	const line = `${service}: ${report.outcome}, revision ${report.revision}: ${report.detail}`;
	if (report.refusal !== core.EditRefusal.StaleRevision || !entry) {
		return [line];
	}

	const item = await readItem(client, service);
	const differences = item.isOk() ? listDifferences(item.value?.entry, entry) : [];
	return [line, ...differences.map(formatDifference)];
};

import * as domain from '@bilberrydoor/domain';
import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {CatalogueStore, EditResult} from '../catalogue/catalogue-store.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {TargetStatus} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';

/** What the operator learns of an edit. */
export enum EditOutcome {
	Accepted = 'accepted',
	Rejected = 'rejected',
	/** The edit may be in the log; asking again with the same edit id settles it. */
	NotYetKnown = 'not-yet-known',
}

export type EditReport = {
	readonly outcome: EditOutcome;
	readonly editId: string;
	readonly detail: string;
	/** Revision of the entry as this node knows it. */
	readonly revision: number;
	/** Log offset of the edit, when known. */
	readonly offset?: number;
};

/** An operator's name and the owners whose entries the operator may edit. */
export type Operator = {
	readonly name: string;
	/** `*` means all. */
	readonly teams: readonly string[];
};

/** A request for an edit; the author is added from the operator. */
export type EditRequest = Omit<domain.EditRecord, 'kind' | 'author'>;

/** What operators can ask of a node. Only edits of the catalogue change anything. */
export type Administration = {
	submitEdit(operator: Operator, request: EditRequest, signal: AbortSignal): Promise<EditReport>;
	findItem(service: string): domain.CatalogueItem | undefined;
	listItems(): readonly domain.CatalogueItem[];
	listTargets(): readonly TargetStatus[];
	describeFleet(): {
		readonly self: domain.NodeDescription;
		readonly appliedOffset: number;
		readonly nodes: readonly domain.NodeDescription[];
	};
};

/** How long an edit's fate is awaited in the log, in ms. */
const EDIT_SETTLE_MS = 10_000;

export const createAdministration = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	replicator: CatalogueReplicator;
	directory: MemberDirectory;
	schedulers: SchedulerRegistry;
}): Administration => {
	const {store, replicator, directory, schedulers} = dependencies;
	const {clock, logService} = dependencies.ports;
	const waiting = new Map<string, (result: EditResult) => void>();
	replicator.subscribeToResults(result => {
		waiting.get(result.editId)?.(result);
	});

	const mayEdit = (operator: Operator, request: EditRequest): boolean => {
		const owners = [store.findItem(request.service)?.entry?.owner, request.entry?.owner].filter(
			owner => owner !== undefined,
		);
		return operator.teams.includes('*') || owners.every(owner => operator.teams.includes(owner));
	};

	const awaitResult = async (editId: string, signal: AbortSignal): Promise<EditResult | undefined> => {
		const settled = new AbortController();
		let result: EditResult | undefined;
		waiting.set(editId, found => {
			result = found;
			settled.abort();
		});
		await clock.sleep(EDIT_SETTLE_MS, AbortSignal.any([signal, settled.signal]));
		waiting.delete(editId);
		return result;
	};

	const reportResult = (request: EditRequest, result: EditResult): EditReport => {
		const isInForce = store.findItem(request.service)?.editId === request.editId;
		return {
			outcome: isInForce ? EditOutcome.Accepted : EditOutcome.Rejected,
			editId: request.editId,
			detail: isInForce
				? 'the edit is in force'
				: `the edit was based on revision ${request.baseRevision}; revision ${result.revision} is in force`,
			revision: result.revision,
			offset: result.offset,
		};
	};

	return {
		async submitEdit(operator, request, signal) {
			const revision = store.findItem(request.service)?.revision ?? 0;
			if (!mayEdit(operator, request)) {
				const detail = `operator ${operator.name} may not edit service ${request.service}; its owner is ${store.findItem(request.service)?.entry?.owner ?? request.entry?.owner ?? 'unknown'}`;
				return {outcome: EditOutcome.Rejected, editId: request.editId, detail, revision};
			}

			const settled = awaitResult(request.editId, signal);
			const appended = await logService.append(
				{...request, kind: domain.CatalogueRecordKind.Edit, author: operator.name},
				signal,
			);
			if (appended.isErr() && appended.error.kind === ports.LogErrorKind.Unavailable) {
				const detail = `the log did not take the edit: ${appended.error.detail}`;
				return {outcome: EditOutcome.Rejected, editId: request.editId, detail, revision};
			}

			const result = await settled;
			return result
				? reportResult(request, result)
				: {
						outcome: EditOutcome.NotYetKnown,
						editId: request.editId,
						detail: 'the edit has not been seen in the log yet; repeat it with the same edit id',
						revision,
					};
		},
		findItem: store.findItem,
		listItems: store.listItems,
		listTargets: () => schedulers.listSchedulers().flatMap(scheduler => scheduler.describeTargets()),
		describeFleet: () => ({
			self: directory.self,
			appliedOffset: store.appliedOffset(),
			nodes: directory.listLiveNodes(),
		}),
	};
};

import * as domain from '@bilberrydoor/domain';
import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {CatalogueStore, EditResult} from '../catalogue/catalogue-store.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {RouteTable} from '../routing/route-table.js';
import type {TargetStatus} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {createChangeGate} from '../shared/change-gate.js';
import {EditOutcome, EditRefusal, type EditReport, type EditRequest, type Operator} from './edit-report.js';
import {findRefusal, type Refusal} from './edit-rules.js';
import {createRouteExplainer, type ExplainRoute} from './explain-route.js';
import {createFleetStatusReader, type FleetStatus} from './fleet-status.js';

/** One revision in an entry's history. */
export type RevisionStatus = domain.RevisionSummary & {
	/** Whether this node still holds the revision's content. */
	readonly isContentHeld: boolean;
};

/** One service, in short. */
export type ServiceStatus = {
	readonly service: string;
	readonly owner: string;
	readonly revision: number;
	readonly routeCount: number;
	readonly targetCount: number;
	readonly slotCount: number;
	readonly floorSlotCount: number;
	readonly groupCount: number;
};

/** What operators see of an operation. */
export type OperationView = {
	/** Absent when the executor has no record of the id. */
	readonly state?: domain.OperationState;
	readonly isExpired: boolean;
	readonly executor?: string;
	readonly reason?: domain.RefusalReason;
	readonly answerStatus?: number;
	readonly detail?: string;
};

/** What operators can ask of a node. Only edits of the catalogue change anything. */
export type Administration = {
	readonly explainRoute: ExplainRoute;
	/** Asks the executor of an operation. Only the workspace that submitted the operation finds its record. */
	readonly readOperation: (operationId: string, workspace: string, signal: AbortSignal) => Promise<OperationView>;
	submitEdit(operator: Operator, request: EditRequest, signal: AbortSignal): Promise<EditReport>;
	/** What has become of an edit, as this node knows it. */
	readEdit(editId: string): EditReport;
	findItem(service: string): domain.CatalogueItem | undefined;
	listItems(): readonly domain.CatalogueItem[];
	/** Latest accepted edits of an entry, oldest first; empty when the service is unknown. */
	listHistory(service: string): readonly RevisionStatus[];
	/** Content of a revision, if this node still holds it. */
	findRevision(service: string, revision: number): domain.CatalogueItem | undefined;
	listServices(): readonly ServiceStatus[];
	/** Targets of the groups that this node schedules. */
	listTargets(): readonly TargetStatus[];
	describeFleet(signal: AbortSignal): Promise<FleetStatus>;
};

/** How long an edit's fate is awaited in the log, in ms. */
const EDIT_SETTLE_MS = 10_000;

const OUTCOMES: Record<domain.EditVerdict, EditOutcome> = {
	[domain.EditVerdict.Accepted]: EditOutcome.Accepted,
	[domain.EditVerdict.RejectedStaleRevision]: EditOutcome.Rejected,
};

/** An earlier append of the same edit may still be unread where the refusal says only that this node lags behind. */
const REFUSAL_OUTCOMES: Partial<Record<EditRefusal, EditOutcome>> = {
	[EditRefusal.NotReady]: EditOutcome.NotYetKnown,
	[EditRefusal.UnknownRevision]: EditOutcome.NotYetKnown,
	[EditRefusal.LogUnavailable]: EditOutcome.NotYetKnown,
};

const describeService = (
	item: domain.CatalogueItem,
	entry: domain.CatalogueEntry,
	groupCount: number,
): ServiceStatus => ({
	service: item.service,
	owner: entry.owner,
	revision: item.revision,
	routeCount: entry.routes.length,
	targetCount: entry.targets.length,
	slotCount: entry.targets.reduce((sum, target) => sum + target.slotCount, 0),
	floorSlotCount: entry.floorSlotCount,
	groupCount,
});

const reportFate = (fate: domain.EditFate): EditReport => ({
	outcome: OUTCOMES[fate.verdict],
	editId: fate.editId,
	detail:
		fate.verdict === domain.EditVerdict.Accepted
			? `revision ${fate.revision} of ${fate.service} was accepted`
			: `another edit of ${fate.service} came first; revision ${fate.revision} was in force`,
	revision: fate.revision,
	offset: fate.offset,
	...(fate.verdict !== domain.EditVerdict.Accepted && {refusal: EditRefusal.StaleRevision}),
});

/** Waits for what becomes of edits, one gate for each edit that is awaited. */
const createFateWaiter = (clock: ports.Clock, store: CatalogueStore) => {
	const gates = new Map<string, ReturnType<typeof createChangeGate>>();
	return {
		announce({fate}: EditResult) {
			gates.get(fate.editId)?.announce();
		},
		async wait(editId: string, signal: AbortSignal): Promise<domain.EditFate | undefined> {
			const gate = gates.get(editId) ?? createChangeGate(clock);
			gates.set(editId, gate);
			if (!store.findFate(editId)) {
				await gate.wait(EDIT_SETTLE_MS, signal);
			}

			gates.delete(editId);
			return store.findFate(editId);
		},
	};
};

const createEditSubmitter = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	replicator: CatalogueReplicator;
}): Administration['submitEdit'] => {
	const {store, replicator} = dependencies;
	const {clock, catalogueCodec} = dependencies.ports;
	const waiter = createFateWaiter(clock, store);
	replicator.subscribeToResults(waiter.announce);

	const reportRefusal = (request: EditRequest, {refusal, detail}: Refusal): EditReport => ({
		outcome: REFUSAL_OUTCOMES[refusal] ?? EditOutcome.Rejected,
		editId: request.editId,
		detail,
		revision: store.findItem(request.service)?.revision ?? 0,
		refusal,
	});

	const reportKnown = (request: EditRequest, fate: domain.EditFate): EditReport =>
		fate.service === request.service
			? reportFate(fate)
			: reportRefusal(request, {
					refusal: EditRefusal.EditIdReused,
					detail: `edit id ${request.editId} belongs to an edit of service ${fate.service}`,
				});

	return async (operator, request, signal) => {
		const known = store.findFate(request.editId);
		if (known) {
			return reportKnown(request, known);
		}

		const current = store.findItem(request.service);
		const refusal = findRefusal({
			operator,
			request,
			current,
			isReady: replicator.isReady(),
			codec: catalogueCodec,
		});
		if (refusal) {
			return reportRefusal(request, refusal);
		}

		const record = {...request, kind: domain.CatalogueRecordKind.Edit, author: operator.name} as const;
		const appended = await replicator.append(record, signal);
		if (appended.isErr() && appended.error.kind === ports.LogErrorKind.Unavailable) {
			const detail = `the log did not take the edit (${appended.error.detail}); repeat it with the same edit id`;
			return reportRefusal(request, {refusal: EditRefusal.LogUnavailable, detail});
		}

		const fate = await waiter.wait(request.editId, signal);
		return fate
			? reportKnown(request, fate)
			: {
					outcome: EditOutcome.NotYetKnown,
					editId: request.editId,
					detail: 'the edit has not been seen in the log yet; repeat it with the same edit id',
					revision: current?.revision ?? 0,
				};
	};
};

export const createAdministration = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	replicator: CatalogueReplicator;
	directory: MemberDirectory;
	routeTable: RouteTable;
	schedulers: SchedulerRegistry;
	readOperation: Administration['readOperation'];
}): Administration => {
	const {store, schedulers, readOperation} = dependencies;
	return {
		submitEdit: createEditSubmitter(dependencies),
		readEdit(editId) {
			const fate = store.findFate(editId);
			const detail = 'the edit is not among the recent edits that this node has read from the log';
			return fate ? reportFate(fate) : {outcome: EditOutcome.NotYetKnown, editId, detail, revision: 0};
		},
		findItem: store.findItem,
		listItems: store.listItems,
		listHistory: service =>
			(store.findItem(service)?.history ?? []).map(summary => ({
				...summary,
				isContentHeld: store.findContent(service, summary.revision) !== undefined,
			})),
		findRevision: store.findContent,
		listServices: () =>
			store
				.listItems()
				.flatMap(item =>
					item.entry ? [describeService(item, item.entry, schedulers.listGroups(item.service).length)] : [],
				),
		listTargets: () => schedulers.listSchedulers().flatMap(scheduler => scheduler.describeTargets()),
		explainRoute: createRouteExplainer({...dependencies, listGroups: schedulers.listGroups}),
		describeFleet: createFleetStatusReader(dependencies),
		readOperation,
	};
};

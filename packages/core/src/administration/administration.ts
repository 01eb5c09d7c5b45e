import * as domain from '@bilberrydoor/domain';
import type {CatalogueReplicator} from '../catalogue/catalogue-replicator.js';
import type {CatalogueStore, EditResult} from '../catalogue/catalogue-store.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {RouteTable} from '../routing/route-table.js';
import type {TargetStatus} from '../scheduling/scheduled-call.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {createChangeNotifier} from '../shared/change-notifier.js';
import {EditOutcome, EditRefusal, type EditReport, type EditRequest, type Operator} from './edit-report.js';
import {findRefusal, type Refusal} from './edit-rules.js';
import {createRouteExplainer, type ExplainRoute} from './explain-route.js';
import {createFleetStatusReader, type FleetStatus} from './fleet-status.js';

/** One revision in an entry's history. */
export type RevisionStatus = domain.RevisionSummary & {
	/** Whether this node still stores the revision's content. */
	readonly isContentHeld: boolean;
};

/** Summary of one service. */
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

/** State of an operation, as shown to operators. */
export type OperationView = {
	/** Absent when the executor has no record of the id. */
	readonly state?: domain.OperationState;
	readonly isExpired: boolean;
	readonly executor?: string;
	readonly reason?: domain.RefusalReason;
	readonly answerStatus?: number;
	readonly detail?: string;
};

/** Administration interface of a node. All functions but `submitEdit` are read-only. */
export type Administration = {
	readonly explainRoute: ExplainRoute;
	/** Reads the record of an operation, which is visible only to the workspace that submitted the operation. */
	readonly readOperation: (operationId: string, workspace: string, signal: AbortSignal) => Promise<OperationView>;
	submitEdit(operator: Operator, request: EditRequest, signal: AbortSignal): Promise<EditReport>;
	/** Outcome of an edit, as far as this node has read the log. */
	readEdit(editId: string): EditReport;
	findItem(service: string): domain.CatalogueItem | undefined;
	listItems(): readonly domain.CatalogueItem[];
	/** Latest accepted edits of an entry, oldest first; empty when the service is unknown. */
	listHistory(service: string): readonly RevisionStatus[];
	/** Content of a revision, if this node still stores it. */
	findRevision(service: string, revision: number): domain.CatalogueItem | undefined;
	listServices(): readonly ServiceStatus[];
	/** Targets of the groups that this node schedules. */
	listTargets(): readonly TargetStatus[];
	describeFleet(signal: AbortSignal): Promise<FleetStatus>;
};

/** Longest wait until an appended edit is read from the log, in ms. */
const EDIT_DECISION_TIMEOUT_MS = 10_000;

const OUTCOMES_BY_VERDICT: Record<domain.EditVerdict, EditOutcome> = {
	[domain.EditVerdict.Accepted]: EditOutcome.Accepted,
	[domain.EditVerdict.RejectedStaleRevision]: EditOutcome.Rejected,
};

/** Refusals that leave the outcome open: the log may hold an earlier append that this node has not read yet. */
const OUTCOMES_BY_REFUSAL: Partial<Record<EditRefusal, EditOutcome>> = {
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

const reportDecision = (decision: domain.EditDecision): EditReport => ({
	outcome: OUTCOMES_BY_VERDICT[decision.verdict],
	editId: decision.editId,
	detail:
		decision.verdict === domain.EditVerdict.Accepted
			? `revision ${decision.revision} of ${decision.service} was accepted`
			: `another edit of ${decision.service} came first; revision ${decision.revision} was in force`,
	revision: decision.revision,
	offset: decision.offset,
	...(decision.verdict !== domain.EditVerdict.Accepted && {refusal: EditRefusal.StaleRevision}),
});

/** Waits until edits are decided in the log, with one notifier for each awaited edit. */
const createDecisionWaiter = (clock: ports.Clock, store: CatalogueStore) => {
	const notifiers = new Map<string, ReturnType<typeof createChangeNotifier>>();
	return {
		notify({decision}: EditResult) {
			notifiers.get(decision.editId)?.notifyAll();
		},
		async wait(editId: string, signal: AbortSignal): Promise<domain.EditDecision | undefined> {
			const notifier = notifiers.get(editId) ?? createChangeNotifier(clock);
			notifiers.set(editId, notifier);
			if (!store.findDecision(editId)) {
				await notifier.wait(EDIT_DECISION_TIMEOUT_MS, signal);
			}

			notifiers.delete(editId);
			return store.findDecision(editId);
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
	const waiter = createDecisionWaiter(clock, store);
	replicator.subscribeToResults(waiter.notify);

	const reportRefusal = (request: EditRequest, {refusal, detail}: Refusal): EditReport => ({
		outcome: OUTCOMES_BY_REFUSAL[refusal] ?? EditOutcome.Rejected,
		editId: request.editId,
		detail,
		revision: store.findItem(request.service)?.revision ?? 0,
		refusal,
	});

	const reportDecidedEdit = (request: EditRequest, decision: domain.EditDecision): EditReport =>
		decision.service === request.service
			? reportDecision(decision)
			: reportRefusal(request, {
					refusal: EditRefusal.EditIdReused,
					detail: `edit id ${request.editId} belongs to an edit of service ${decision.service}`,
				});

	return async (operator, request, signal) => {
		const known = store.findDecision(request.editId);
		if (known) {
			return reportDecidedEdit(request, known);
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

		const decision = await waiter.wait(request.editId, signal);
		return decision
			? reportDecidedEdit(request, decision)
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
			const decision = store.findDecision(editId);
			const detail = 'the edit is not among the recent edits that this node has read from the log';
			return decision ? reportDecision(decision) : {outcome: EditOutcome.NotYetKnown, editId, detail, revision: 0};
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

import * as domain from '@bilberrydoor/domain';
import type {CatalogueStore} from '../catalogue/catalogue-store.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {RouteTable} from '../routing/route-table.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import * as handOvers from './hand-over.js';
import {createOperationAttemptRunner} from './operation-attempt.js';
import * as operationClients from './operation-client.js';
import * as operationExecutor from './operation-executor.js';
import {decodeOperationId} from './operation-token.js';
import {createTakenOverRecords, type TakenOverRecordsOptions} from './taken-over-records.js';

export type OperationsOptions = operationExecutor.OperationExecutorOptions &
	operationClients.OperationClientOptions &
	TakenOverRecordsOptions &
	handOvers.HandOverOptions & {
		/** Pause between sweeps that drop records past their retention, in ms. */
		readonly sweepPeriodMs: number;
	};

const DEFAULT_SWEEP_PERIOD_MS = 10_000;
/** Time limit for sending all records to successors, in ms. */
const HAND_OVER_LIMIT_MS = 30_000;
/** Shortest retention at a successor, in ms: callers that still wait for an ending retry within this time. */
const SUCCESSOR_RETENTION_MINIMUM_MS = 60_000;

type OperationMessageKind =
	| ports.PeerMessageKind.MintOperations
	| ports.PeerMessageKind.ReadOperation
	| ports.PeerMessageKind.TakeOverOperations;

type ForwardHandler = (forwarded: ports.ForwardedCall, signal: AbortSignal) => Promise<domain.CallEnding>;

/** At-most-once operations on one node, which is entry node, executor and successor of stopped executors. */
export type Operations = {
	readonly requireOperationId: operationClients.OperationClient['requireOperationId'];
	readonly submit: operationClients.OperationClient['submit'];
	readonly mintOperations: operationClients.OperationClient['mint'];
	readonly readOperation: operationClients.OperationClient['read'];
	readonly executeForwarded: ForwardHandler;
	readonly consultForwarded: ForwardHandler;
	readonly peerHandlers: Pick<ports.PeerHandlers, OperationMessageKind>;
	/** Stops minting ids and accepting records of other executors. */
	stopAccepting(): void;
	/** Refuses operations that are submitted for the first time from now on. Cannot be undone. */
	seal(): void;
	/** Waits for running operations, for at most `limitMs`, and sends all records to successors. */
	handOver(limitMs: number): Promise<void>;
	/** Drops records past their retention at intervals, until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export const createOperations = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	store: CatalogueStore;
	routeTable: RouteTable;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
	options?: Partial<OperationsOptions>;
}): Operations => {
	const {directory, options = {}} = dependencies;
	const {authenticator, clock, metrics} = dependencies.ports;
	const {self} = directory;
	const runAttempt = createOperationAttemptRunner({
		...dependencies,
		region: self.region,
		answerLimitBytes: options.answerLimitBytes ?? operationClients.DEFAULT_OPERATION_CLIENT_OPTIONS.answerLimitBytes,
	});
	const executor = operationExecutor.createOperationExecutor({...dependencies, self, runAttempt});
	const takenOver = createTakenOverRecords({clock, options});
	const client = operationClients.createOperationClient({...dependencies, executor, takenOver});
	const handOver = handOvers.createHandOver(dependencies);
	let isStopping = false;

	const readLocally = ({operationId, workspace}: ports.ReadOperationRequest): ports.ReadOperationReply => {
		const identity = decodeOperationId(authenticator, operationId).unwrapOr(undefined);
		const localReply =
			identity &&
			(domain.isSameIncarnation(identity.executor, self)
				? executor.read(identity, workspace)
				: takenOver.read(identity, workspace));
		return localReply ?? {isAuthoritative: false, isExpired: false};
	};

	/** Records of this incarnation, and of each stopped incarnation whose records have all arrived here. */
	const listRecordsToHandOver = (): handOvers.IncarnationRecords[] => {
		const nowMs = clock.monotonicMs();
		const records = executor.table.listRecords();
		// A successor must keep the records until the last one may be dropped and the last id has expired.
		const retainUntilMs = records
			.map(record => record.dropAtMs)
			.filter(Number.isFinite)
			.reduce((latest, dropAtMs) => Math.max(latest, dropAtMs), executor.latestExpiryAtMs() ?? nowMs);
		const ownRecords = {
			from: {vmId: self.vmId, address: self.address, incarnationId: self.incarnationId},
			records: records.map(handOvers.transferRecord),
			forgotten: executor.table.listDroppedExpiries(),
			remainingRetentionMs: Math.max(retainUntilMs - nowMs, SUCCESSOR_RETENTION_MINIMUM_MS),
		};
		const otherRecords = takenOver
			.listOrigins()
			.filter(origin => origin.isComplete && origin.dropAtMs > nowMs)
			.map(origin => ({
				from: origin.from,
				records: [...origin.records.values()],
				forgotten: [...origin.forgotten].map(([service, untilMs]) => ({service, untilMs})),
				remainingRetentionMs: origin.dropAtMs - nowMs,
			}));
		return executor.latestExpiryAtMs() === undefined ? otherRecords : [ownRecords, ...otherRecords];
	};

	const executeForwarded: ForwardHandler = async ({call, remainingMs}, signal) => {
		const identity = decodeOperationId(authenticator, call.operationId ?? '');
		if (identity.isErr()) {
			return domain.unknown(domain.RefusalReason.OperationIdInvalid, identity.error);
		}

		return domain.isSameIncarnation(identity.value.executor, self)
			? executor.submit({identity: identity.value, call, remainingMs}, signal)
			: domain.unknown(domain.RefusalReason.ExecutorUnreachable, 'the operation has another executor');
	};

	return {
		requireOperationId: client.requireOperationId,
		submit: client.submit,
		mintOperations: client.mint,
		readOperation: client.read,
		executeForwarded,
		consultForwarded: client.consult,
		peerHandlers: {
			async [ports.PeerMessageKind.MintOperations]({service, count}) {
				const operationIds = executor.mint(service, count);
				return operationIds.length > 0 ? {operationIds} : {operationIds, detail: 'stopping, or the service is unknown'};
			},
			[ports.PeerMessageKind.ReadOperation]: async request => readLocally(request),
			[ports.PeerMessageKind.TakeOverOperations]: async request =>
				isStopping ? {isAccepted: false, isComplete: false} : takenOver.takeOver(request),
		},
		stopAccepting() {
			isStopping = true;
			executor.stopMinting();
		},
		seal: executor.seal,
		async handOver(limitMs) {
			const {signal} = new AbortController();
			await runWithTimeout({clock, timeoutMs: limitMs, signal}, executor.waitUntilIdle);
			await runWithTimeout({clock, timeoutMs: HAND_OVER_LIMIT_MS, signal}, async handOverSignal => {
				for (const transfer of listRecordsToHandOver()) {
					await handOver(transfer, handOverSignal);
				}
			});
		},
		async run(signal) {
			while (!signal.aborted) {
				await clock.sleep(options.sweepPeriodMs ?? DEFAULT_SWEEP_PERIOD_MS, signal);
				executor.table.sweep(clock.monotonicMs());
				takenOver.sweep(clock.monotonicMs());
				metrics.set(ports.GaugeName.OperationRecords, {}, executor.table.recordCount());
			}
		},
	};
};

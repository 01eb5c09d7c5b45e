import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type {AdmittedCall} from '../entry/admitted-call.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import type {RouteTable} from '../routing/route-table.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {bufferBody, BufferError, replayBody} from '../shared/buffer-body.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {rankSuccessors} from './hand-over.js';
import type {OperationExecutor} from './operation-executor.js';
import {computeFingerprint} from './operation-fingerprint.js';
import {createOperationMinter, type MintOperations} from './operation-minter.js';
import {decodeOperationId} from './operation-token.js';
import type {TakenOverRecords} from './taken-over-records.js';

export type OperationClientOptions = {
	/** Largest body that is held in memory for sending it again, in bytes. */
	readonly bodyLimitBytes: number;
	/** Largest answer that is held in memory, in bytes. */
	readonly answerLimitBytes: number;
	/** Deadline when neither the caller nor a route gives one, in ms. */
	readonly defaultDeadlineMs: number;
	/** Wait for the executor's reply after the deadline, in ms; longer than `settleMarginMs` plus a round trip. */
	readonly replyMarginMs: number;
	/** Longest wait for the reply to a control message, in ms. */
	readonly controlTimeoutMs: number;
};

export const DEFAULT_OPERATION_CLIENT_OPTIONS: OperationClientOptions = {
	bodyLimitBytes: 1_048_576,
	answerLimitBytes: 4_194_304,
	defaultDeadlineMs: 30_000,
	replyMarginMs: 500,
	controlTimeoutMs: 1000,
};

/** Longest deadline that a catalogue entry may set, in ms. */
const DEADLINE_LIMIT_MS = 600_000;
/** Most successors that are consulted in turn when this node cannot reach the executor. */
const CONSULTED_NODE_LIMIT_COUNT = 3;

/** Why the state of an operation cannot be read: the id is invalid, or no reachable node has the record. */
export type LookupFailure = {readonly reason: domain.RefusalReason; readonly detail: string};

/** Accepts at-most-once operations on any node and sends them to their executors. */
export type OperationClient = {
	readonly mint: MintOperations;
	/** Refuses a call without an operation id. The refusal carries a new id for repeating the call. */
	requireOperationId(admitted: AdmittedCall, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Sends a call with an operation id to its executor and returns the ending. */
	submit(call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	read(
		operationId: string,
		workspace: string,
		signal: AbortSignal,
	): Promise<neverthrow.Result<ports.ReadOperationReply, LookupFailure>>;
	/** Serves a node that cannot reach an executor: answers from records on this node, or forwards to the executor. */
	consult(forwarded: ports.ForwardedCall, signal: AbortSignal): Promise<domain.CallEnding>;
};

type BufferedSubmission = {
	readonly identity: domain.OperationIdentity;
	/** The call with its body in memory. */
	readonly call: domain.CallRequest;
	readonly body: Uint8Array;
	readonly deadlineAtMs: number;
};

type ForwardDestination = Pick<ports.ForwardedCall, 'purpose' | 'requiredIncarnationId'> & {readonly address: string};

const REASONS_BY_BODY_ERROR: Record<BufferError, domain.RefusalReason> = {
	[BufferError.TooLarge]: domain.RefusalReason.BodyTooLarge,
	[BufferError.Broken]: domain.RefusalReason.CallerCancelled,
};

const buildUnreachableEnding = (): domain.UnknownEnding =>
	domain.unknown(
		domain.RefusalReason.ExecutorUnreachable,
		'the executor of the operation could not be asked; submit the same id again or look it up later',
	);

const isConclusive = (ending: domain.CallEnding | undefined): ending is domain.CallEnding =>
	ending !== undefined &&
	!(ending.outcome === domain.Outcome.Unknown && ending.reason === domain.RefusalReason.ExecutorUnreachable);

const buildDirectDestination = ({executor}: domain.OperationIdentity): ForwardDestination => ({
	address: executor.address,
	purpose: ports.ForwardPurpose.Execute,
	requiredIncarnationId: executor.incarnationId,
});

export const createOperationClient = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	routeTable: RouteTable;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
	executor: OperationExecutor;
	takenOver: TakenOverRecords;
	options?: Partial<OperationClientOptions>;
}): OperationClient => {
	const {directory, executor, takenOver} = dependencies;
	const {authenticator, clock, metrics, peerClient} = dependencies.ports;
	const options = {...DEFAULT_OPERATION_CLIENT_OPTIONS, ...dependencies.options};

	const bufferSubmission = async (
		call: domain.CallRequest,
		deadlineMs: number,
		signal: AbortSignal,
	): Promise<neverthrow.Result<BufferedSubmission, domain.CallEnding>> => {
		const deadlineAtMs = clock.monotonicMs() + deadlineMs;
		// An invalid id may be the corrupted id of an operation that has run, so the ending is `unknown`.
		const decoded = decodeOperationId(authenticator, call.operationId ?? '');
		if (decoded.isErr()) {
			return neverthrow.err(domain.unknown(domain.RefusalReason.OperationIdInvalid, decoded.error));
		}

		const bodyRead = await runWithTimeout({clock, timeoutMs: deadlineMs, signal}, async () =>
			bufferBody(call.body, options.bodyLimitBytes),
		);
		if (bodyRead.isTimedOut || bodyRead.value.isErr()) {
			const reason = bodyRead.isTimedOut
				? domain.RefusalReason.DeadlineExceeded
				: REASONS_BY_BODY_ERROR[bodyRead.value._unsafeUnwrapErr()];
			const detail = `the body must arrive whole before the deadline, in at most ${options.bodyLimitBytes} bytes`;
			return neverthrow.err(domain.unknown(reason, detail));
		}

		const body = bodyRead.value.value;
		const hasBody = call.body !== undefined;
		const buffered = {...call, ...(hasBody && {body: replayBody(body), bodyLengthBytes: body.byteLength})};
		return neverthrow.ok({identity: decoded.value, call: buffered, body, deadlineAtMs});
	};

	/** Ending from the executor or the taken-over records on this node; undefined when it has neither. */
	const answerLocally = async (
		{identity, call, body, deadlineAtMs}: BufferedSubmission,
		signal: AbortSignal,
	): Promise<domain.CallEnding | undefined> => {
		if (domain.isSameIncarnation(identity.executor, directory.self)) {
			return executor.submit({identity, call, remainingMs: deadlineAtMs - clock.monotonicMs()}, signal);
		}

		const fingerprint = computeFingerprint(authenticator, call, body);
		return takenOver.answer(identity, {fingerprint, workspace: call.workspace});
	};

	const forward = async (
		{identity, call, deadlineAtMs}: BufferedSubmission,
		{address, ...purpose}: ForwardDestination,
		signal: AbortSignal,
	): Promise<domain.CallEnding | undefined> => {
		const remainingMs = deadlineAtMs - clock.monotonicMs();
		const forwarded = await peerClient.forwardCall(
			address,
			{...purpose, service: identity.service, groupId: '', remainingMs, call},
			signal,
		);
		if (forwarded.isErr() || forwarded.value.outcome !== domain.Outcome.Completed) {
			return forwarded.unwrapOr(undefined);
		}

		// The whole answer is buffered first, because the executor can be asked again if reading it fails.
		const {answer} = forwarded.value;
		const body = await bufferBody(answer.body, options.answerLimitBytes);
		return body.isOk() ? domain.completed({...answer, body: replayBody(body.value)}) : undefined;
	};

	/**
	 * Tries the destinations in turn. This is safe because the executor returns the same ending for every submission of an
	 * id.
	 */
	const forwardInTurn = async (
		submission: BufferedSubmission,
		destinations: readonly ForwardDestination[],
		signal: AbortSignal,
	): Promise<domain.CallEnding> => {
		for (const [index, destination] of destinations.entries()) {
			const leftMs = submission.deadlineAtMs + options.replyMarginMs - clock.monotonicMs();
			if (leftMs <= 0 || signal.aborted) {
				break;
			}

			const timeoutMs = index === destinations.length - 1 ? leftMs : leftMs / 2;
			const result = await runWithTimeout({clock, timeoutMs, signal}, async forwardSignal =>
				forward(submission, destination, forwardSignal),
			);
			if (!result.isTimedOut && isConclusive(result.value)) {
				return result.value;
			}

			const {service} = submission.identity;
			metrics.increment(ports.CounterName.Retries, {service, reason: domain.RetryReason.PeerLost});
		}

		return buildUnreachableEnding();
	};

	const listForwardDestinations = ({identity}: BufferedSubmission): ForwardDestination[] => {
		const direct = buildDirectDestination(identity);
		const consulted = rankSuccessors(directory, identity.executor)
			.filter(node => node.address !== directory.self.address)
			.slice(0, CONSULTED_NODE_LIMIT_COUNT)
			.map(({address}) => ({address, purpose: ports.ForwardPurpose.Consult}));
		return [direct, ...consulted, direct];
	};

	const mint = createOperationMinter({...dependencies, controlTimeoutMs: options.controlTimeoutMs});

	const requestRecord = async (
		address: string,
		operationId: string,
		workspace: string,
		signal: AbortSignal,
	): Promise<ports.ReadOperationReply | undefined> => {
		const sent = await runWithTimeout({clock, timeoutMs: options.controlTimeoutMs, signal}, async requestSignal =>
			peerClient.request(address, ports.PeerMessageKind.ReadOperation, {operationId, workspace}, requestSignal),
		);
		return sent.isTimedOut ? undefined : sent.value.unwrapOr(undefined);
	};

	return {
		mint,
		async requireOperationId({service, call}, signal) {
			const minted = await mint(service, 1, signal);
			if (minted.isErr()) {
				return domain.notRun(domain.RefusalReason.ExecutorUnreachable, minted.error, {retryAfterMs: 1000});
			}

			const [operationId] = minted.value;
			return call.idempotencyKey === undefined
				? domain.notRun(
						domain.RefusalReason.OperationIdRequired,
						'this work runs at most once; repeat the request with the header Operation-Id',
						{operationId},
					)
				: domain.notRun(
						domain.RefusalReason.IdempotencyKeyUnsupported,
						'a key chosen by the caller names no executor; repeat the request with the header Operation-Id',
						{operationId},
					);
		},
		async submit(call, signal) {
			const found = dependencies.routeTable.findRoute(call.method, call.path);
			const routeDeadlineMs = found.isOk() ? found.value.route.deadlineMs : DEADLINE_LIMIT_MS;
			const defaultMs = found.isOk() ? routeDeadlineMs : options.defaultDeadlineMs;
			const buffered = await bufferSubmission(call, Math.min(call.deadlineMs ?? defaultMs, routeDeadlineMs), signal);
			if (buffered.isErr()) {
				return buffered.error;
			}

			const localEnding = await answerLocally(buffered.value, signal);
			return localEnding ?? forwardInTurn(buffered.value, listForwardDestinations(buffered.value), signal);
		},
		async consult({call, remainingMs}, signal) {
			const buffered = await bufferSubmission(call, remainingMs, signal);
			if (buffered.isErr()) {
				return buffered.error;
			}

			const localEnding = await answerLocally(buffered.value, signal);
			return localEnding ?? forwardInTurn(buffered.value, [buildDirectDestination(buffered.value.identity)], signal);
		},
		async read(operationId, workspace, signal) {
			const decoded = decodeOperationId(authenticator, operationId);
			if (decoded.isErr()) {
				return neverthrow.err({reason: domain.RefusalReason.OperationIdInvalid, detail: decoded.error});
			}

			const identity = decoded.value;
			const localReply = domain.isSameIncarnation(identity.executor, directory.self)
				? executor.read(identity, workspace)
				: takenOver.read(identity, workspace);
			if (localReply) {
				return neverthrow.ok(localReply);
			}

			const addresses = [identity.executor, ...rankSuccessors(directory, identity.executor)].map(node => node.address);
			for (const address of addresses.filter(other => other !== directory.self.address)) {
				const reply = await requestRecord(address, operationId, workspace, signal);
				if (reply?.isAuthoritative) {
					return neverthrow.ok(reply);
				}
			}

			const {reason, detail} = buildUnreachableEnding();
			return neverthrow.err({reason, detail});
		},
	};
};

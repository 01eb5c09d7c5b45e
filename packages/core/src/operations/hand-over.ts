import * as domain from '@bilberrydoor/domain';
import type {MemberDirectory} from '../membership/member-directory.js';
import * as ports from '../ports/index.js';
import {rankByRendezvous} from '../routing/rendezvous-ranking.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import {limitDetail, type OperationRecord} from './operation-record.js';

export type HandOverOptions = {
	/** Number of nodes that receive all records, so that the loss of one of them loses no record. */
	readonly copyCount: number;
	/** Records in one message. */
	readonly batchLimitCount: number;
	/** Bytes of answers in one message; far below the limit of a control message. */
	readonly batchLimitBytes: number;
	/** Longest wait for the reply to one message, in ms. */
	readonly replyTimeoutMs: number;
	/** Most times that one message is sent to a node. Messages are idempotent. */
	readonly sendLimitCount: number;
};

export const DEFAULT_HAND_OVER_OPTIONS: HandOverOptions = {
	copyCount: 2,
	batchLimitCount: 500,
	batchLimitBytes: 1_048_576,
	replyTimeoutMs: 2000,
	sendLimitCount: 3,
};

/** Number of top-ranked nodes that may have taken over an incarnation's records. */
const SUCCESSOR_CANDIDATE_COUNT = 4;

/** Size of a record's answer, headers and body, in bytes. */
const measureAnswerBytes = ({answer}: ports.TransferredOperation): number =>
	(answer?.headers ?? []).reduce(
		(sum, [name, value]) => sum + name.length + value.length,
		answer?.body?.byteLength ?? 0,
	);

/** Operation records of one incarnation, as they are sent to its successors. */
export type IncarnationRecords = Pick<
	ports.TakeOverOperationsRequest,
	'from' | 'records' | 'forgotten' | 'remainingRetentionMs'
>;

/**
 * Nodes that may have taken over an incarnation's records, best first. Every node derives the same order from the
 * incarnation and the live nodes, so a successor is found without an announcement.
 */
export const rankSuccessors = (directory: MemberDirectory, executor: domain.Incarnation): domain.NodeDescription[] =>
	rankByRendezvous(
		`${executor.vmId} ${executor.address} ${executor.incarnationId}`,
		directory.listLiveNodes().filter(node => node.address !== executor.address),
		SUCCESSOR_CANDIDATE_COUNT,
	);

/** Converts a record for a hand-over. An operation that has not ended is handed over as `unknown`. */
export const transferRecord = (record: OperationRecord): ports.TransferredOperation => {
	const {serial, service, workspace, fingerprint, ending} = record;
	const commonFields = {serial, service, workspace, fingerprint};
	if (ending?.outcome === domain.Outcome.Completed) {
		const {status, headers, body} = ending;
		return {...commonFields, state: domain.OperationState.Completed, answer: {status, headers, body}};
	}

	const state =
		record.state === domain.OperationState.NotRun ? domain.OperationState.NotRun : domain.OperationState.Unknown;
	const detail = limitDetail(ending?.detail ?? 'the executor stopped before the work had ended');
	return {...commonFields, state, reason: ending?.reason ?? domain.RefusalReason.TargetLost, detail};
};

/** Sends records to the successors. Returns the number of nodes that have taken over all of them. */
export type HandOver = (transfer: IncarnationRecords, signal: AbortSignal) => Promise<number>;

export const createHandOver = (dependencies: {
	ports: ports.NodePorts;
	directory: MemberDirectory;
	options?: Partial<HandOverOptions>;
}): HandOver => {
	const {directory} = dependencies;
	const {clock, peerClient, logger} = dependencies.ports;
	const options = {...DEFAULT_HAND_OVER_OPTIONS, ...dependencies.options};

	const splitRecords = (records: readonly ports.TransferredOperation[]): ports.TransferredOperation[][] => {
		let bytes = 0;
		return records.reduce<ports.TransferredOperation[][]>(
			(batches, record) => {
				const recordBytes = measureAnswerBytes(record);
				const lastBatch = batches.at(-1)!;
				const isFull = lastBatch.length >= options.batchLimitCount || bytes + recordBytes > options.batchLimitBytes;
				if (lastBatch.length > 0 && isFull) {
					bytes = recordBytes;
					batches.push([record]);
				} else {
					bytes += recordBytes;
					lastBatch.push(record);
				}

				return batches;
			},
			[[]],
		);
	};

	const sendBatch = async (
		address: string,
		request: ports.TakeOverOperationsRequest,
		signal: AbortSignal,
	): Promise<ports.TakeOverOperationsReply | undefined> => {
		for (let sendCount = 0; sendCount < options.sendLimitCount && !signal.aborted; sendCount++) {
			const sent = await runWithTimeout({clock, timeoutMs: options.replyTimeoutMs, signal}, async sendSignal =>
				peerClient.request(address, ports.PeerMessageKind.TakeOverOperations, request, sendSignal),
			);
			if (!sent.isTimedOut && sent.value.isOk()) {
				return sent.value.value;
			}
		}

		return undefined;
	};

	const sendRecords = async (address: string, transfer: IncarnationRecords, signal: AbortSignal): Promise<boolean> => {
		const batches = splitRecords(transfer.records);
		let isComplete = false;
		for (const [batchIndex, records] of batches.entries()) {
			const senderId = directory.self.incarnationId;
			const request = {...transfer, senderId, records, batchIndex, batchCount: batches.length};
			const reply = await sendBatch(address, request, signal);
			if (!reply?.isAccepted) {
				return false;
			}

			isComplete = reply.isComplete;
		}

		return isComplete;
	};

	return async (transfer, signal) => {
		const successors = rankSuccessors(directory, transfer.from).filter(node => node.address !== directory.self.address);
		let copyCount = 0;
		for (const node of successors) {
			if (copyCount < options.copyCount && (await sendRecords(node.address, transfer, signal))) {
				copyCount++;
			}
		}

		const fields = {incarnationId: transfer.from.incarnationId, recordCount: transfer.records.length, copyCount};
		logger.info('operation records handed over', fields);
		return copyCount;
	};
};

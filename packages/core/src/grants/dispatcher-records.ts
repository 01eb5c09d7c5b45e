import * as ports from '../ports/index.js';
import type {GrantStanding} from './target-ledger.js';

const MS_PER_SECOND = 1000;

/** Evidence on which a target is set aside. */
export type SetAsideEvidence = {
	readonly usualFailureRatio: number;
	readonly usualPhaseMs: number;
	readonly standings: ReadonlyMap<GrantStanding, number>;
	readonly waitingCount: number;
};

/** Metrics and log lines of one dispatcher. */
export type DispatcherRecords = {
	/** Records a decision, including the time that the call waited for it. */
	recordDecision(
		request: ports.AcquireGrantRequest,
		reply: ports.AcquireGrantReply,
		times: {readonly waitMs: number; readonly verdictAgeMs: number | undefined},
	): void;
	recordWaitingCount(waitingCount: number): void;
	recordSetAside(request: ports.ReportResultRequest, evidence: SetAsideEvidence): void;
	recordReturn(request: ports.ReportResultRequest, grayMs: number): void;
};

export type DispatcherRecordsParts = {
	readonly groupId: string;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
};

export const createDispatcherRecords = ({groupId, logger, metrics}: DispatcherRecordsParts): DispatcherRecords => ({
	recordDecision({service}, reply, {waitMs, verdictAgeMs}) {
		const result = reply.isGranted ? reply.standing : reply.refusal;
		metrics.increment(ports.CounterName.Grants, {service, result});
		metrics.observe(ports.HistogramName.QueueSeconds, {}, waitMs / MS_PER_SECOND);
		if (verdictAgeMs !== undefined) {
			metrics.observe(ports.HistogramName.VerdictAgeSeconds, {}, verdictAgeMs / MS_PER_SECOND);
		}
	},
	recordWaitingCount(waitingCount) {
		metrics.set(ports.GaugeName.WaitingCalls, {group: groupId}, waitingCount);
	},
	recordSetAside(request, {usualFailureRatio, usualPhaseMs, standings, waitingCount}) {
		metrics.increment(ports.CounterName.Ejections, {service: request.service, reason: request.result});
		logger.info('target set aside', {
			event: ports.LogEvent.TargetSetAside,
			groupId,
			targetId: request.targetId,
			grantId: request.grantId,
			result: request.result,
			reporter: request.nodeId,
			usualFailureRatio: Number(usualFailureRatio.toFixed(4)),
			usualPhaseMs: Math.round(usualPhaseMs),
			standings: Object.fromEntries(standings),
			waitingCount,
		});
	},
	recordReturn({targetId, grantId}, grayMs) {
		logger.info('target passed its trial', {
			event: ports.LogEvent.TargetReturned,
			groupId,
			targetId,
			grantId,
			grayMs: Math.round(grayMs),
		});
	},
});

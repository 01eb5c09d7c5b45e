import * as domain from '@bilberrydoor/domain';
import {chooseGroup} from '../entry/group-offers.js';
import type {GroupDelivery} from '../entry/group-delivery.js';
import type * as ports from '../ports/index.js';
import type {SchedulerRegistry} from '../scheduling/scheduler-registry.js';
import {bufferBody, BufferError, replayBody} from '../shared/buffer-body.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {StoredEnding} from './operation-record.js';
import {runWithStartLimit} from './start-limit.js';

/** The one attempt of an operation. */
export type OperationAttempt = {
	readonly entry: domain.CatalogueEntry;
	readonly route: domain.RouteEntry;
	readonly call: domain.CallRequest;
	readonly body: Uint8Array;
	/** Time on the monotonic clock after which the work must not start, in ms. */
	readonly startDeadlineAtMs: number;
	/** Time on the monotonic clock until which a late answer is accepted, in ms. */
	readonly answerDeadlineAtMs: number;
	/** Marks the record as dispatched, or returns why the work must not be sent. */
	readonly beforeDispatch: () => domain.NotRunEnding | undefined;
};

export type OperationAttemptRunner = (attempt: OperationAttempt, signal: AbortSignal) => Promise<StoredEnding>;

const REASONS_BY_BODY_ERROR: Record<BufferError, domain.RefusalReason> = {
	[BufferError.TooLarge]: domain.RefusalReason.AnswerTooLarge,
	[BufferError.Broken]: domain.RefusalReason.TargetLost,
};

/** Creates the function that sends an operation to a group of its service and reads the whole answer. */
export const createOperationAttemptRunner = (dependencies: {
	ports: ports.NodePorts;
	region: string;
	schedulers: SchedulerRegistry;
	delivery: GroupDelivery;
	/** Largest answer that is read into memory, in bytes. */
	answerLimitBytes: number;
}): OperationAttemptRunner => {
	const {clock, random} = dependencies.ports;

	const readEnding = async (attempt: OperationAttempt, ending: domain.CallEnding): Promise<StoredEnding> => {
		if (ending.outcome !== domain.Outcome.Completed) {
			return ending;
		}

		const {status, headers} = ending.answer;
		// The scheduling node has already sorted out refusals; only it knows whether the answer names the attempt.
		const limitBytes = Math.min(dependencies.answerLimitBytes, attempt.route.answerBodyLimitBytes);
		const body = await bufferBody(ending.answer.body, limitBytes);
		return body.match<StoredEnding>(
			bytes => ({outcome: domain.Outcome.Completed, status, headers, body: bytes}),
			error =>
				domain.unknown(
					REASONS_BY_BODY_ERROR[error],
					`the target answered with status ${status}, but the body was ${error} (limit ${limitBytes} bytes)`,
				),
		);
	};

	const deliver = async (attempt: OperationAttempt, signal: AbortSignal): Promise<domain.CallEnding> => {
		const {call, body, route, startDeadlineAtMs, answerDeadlineAtMs, beforeDispatch} = attempt;
		const {service} = attempt.entry;
		const group = chooseGroup(dependencies.schedulers.listGroups(service), dependencies.region, random.fraction());
		if (!group) {
			return domain.notRun(domain.RefusalReason.NoTarget, `service ${service} has no targets in its entry`);
		}

		const hasBody = call.body !== undefined;
		const scheduled = {
			call: {...call, ...(hasBody && {body: replayBody(body), bodyLengthBytes: body.byteLength})},
			// The entry may have changed since the id was minted, but an operation is never sent twice.
			route: {...route, repeatability: domain.Repeatability.Single},
			deadlineAtMs: answerDeadlineAtMs,
			startDeadlineAtMs,
			beforeDispatch,
		};
		return runWithStartLimit({clock, scheduled, startDeadlineAtMs, signal}, async (limited, limitedSignal) =>
			dependencies.delivery.deliver(group, limited, limitedSignal),
		);
	};

	return async (attempt, signal) => {
		const controller = new AbortController();
		const timeoutMs = attempt.answerDeadlineAtMs - clock.monotonicMs();
		const result = await runWithTimeout({clock, timeoutMs, signal}, async timeoutSignal => {
			const ending = await deliver(attempt, AbortSignal.any([timeoutSignal, controller.signal]));
			return readEnding(attempt, ending);
		});
		// Releases the target's slot when the answer was not read to its end.
		controller.abort();
		return result.isTimedOut
			? domain.unknown(domain.RefusalReason.TargetTimedOut, 'the target did not answer in time')
			: result.value;
	};
};

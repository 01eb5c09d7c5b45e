import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {observeBody} from '../shared/observe-body.js';

/** Result of a planned stop. */
export type DrainResult = {
	/** Calls still in flight when the time limit of the drain had passed. */
	readonly cutCallCount: number;
};

/** Counts the calls in flight, so that a planned stop can wait for them. */
export type CallTracker = {
	/** Runs a call and counts it as in flight until its answer's body has ended or `signal` is aborted. */
	track(
		handle: () => Promise<domain.CallEnding>,
		signal: AbortSignal,
		refusal?: domain.CallEnding,
	): Promise<domain.CallEnding>;
	/** Refusal of a new call after the notice period of a planned stop; undefined before. */
	findRefusal(call: domain.CallRequest): domain.CallEnding | undefined;
	isDraining(): boolean;
	inFlightCount(): number;
	/**
	 * Refuses new calls after `noticeMs`, and then waits for at most `limitMs` until no call is in flight. `onNoticeOver`
	 * is called when the refusals begin.
	 */
	drain(options: {noticeMs: number; limitMs: number; onNoticeOver?: () => void}): Promise<DrainResult>;
};

export const createCallTracker = (dependencies: {clock: ports.Clock}): CallTracker => {
	const {clock} = dependencies;
	const idleController = new AbortController();
	let inFlightCount = 0;
	let isDraining = false;
	let isNoticeOver = false;

	const finishCall = (): void => {
		inFlightCount--;
		if (isNoticeOver && inFlightCount === 0) {
			idleController.abort();
		}
	};

	const createFinishOnce = (): (() => void) => {
		let isFinished = false;
		return () => {
			if (!isFinished) {
				isFinished = true;
				finishCall();
			}
		};
	};

	return {
		async track(handle, signal, refusal) {
			if (refusal) {
				return refusal;
			}

			inFlightCount++;
			const finish = createFinishOnce();
			signal.addEventListener('abort', finish, {once: true});
			const ending = await handle();
			if (ending.outcome !== domain.Outcome.Completed) {
				finish();
				return ending;
			}

			return domain.completed({...ending.answer, body: observeBody(ending.answer.body, {onEnd: finish})});
		},
		findRefusal(call) {
			if (!isNoticeOver) {
				return undefined;
			}

			// The operation may have been submitted through another node, so this node cannot rule out that it has run.
			return call.operationId === undefined
				? domain.notRun(domain.RefusalReason.Draining, 'this node is stopping; another node serves the call', {
						retryAfterMs: 1000,
					})
				: domain.unknown(domain.RefusalReason.Draining, 'this node is stopping; submit the operation id again');
		},
		isDraining: () => isDraining,
		inFlightCount: () => inFlightCount,
		async drain({noticeMs, limitMs, onNoticeOver}) {
			isDraining = true;
			await clock.sleep(noticeMs);
			isNoticeOver = true;
			onNoticeOver?.();
			if (inFlightCount > 0) {
				await clock.sleep(limitMs, idleController.signal);
			}

			return {cutCallCount: inFlightCount};
		},
	};
};

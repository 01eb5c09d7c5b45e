import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';

/** Options of the baseline. The defaults are common values of widespread proxies. */
export type IndependentProxyOptions = {
	/** Consecutive failures after which a target is ejected. */
	readonly ejectionErrorCount: number;
	/** Duration of a target's first ejection, in ms; the n-th ejection lasts n times as long. */
	readonly ejectionMs: number;
	/** Largest fraction of the targets that may be ejected at the same time. */
	readonly ejectionLimitRatio: number;
	/** Retries of a call without a body after a failure. */
	readonly retryLimitCount: number;
};

export const DEFAULT_INDEPENDENT_PROXY_OPTIONS: IndependentProxyOptions = {
	ejectionErrorCount: 5,
	ejectionMs: 30_000,
	ejectionLimitRatio: 0.5,
	retryLimitCount: 1,
};

/** A node that evaluates targets only by the calls that it serves itself. */
export type IndependentProxy = {
	handleCall(call: domain.CallRequest, signal: AbortSignal): Promise<domain.CallEnding>;
	/** Ids of the targets that are ejected at present. */
	listEjectedTargets(): readonly string[];
};

type ProxiedTarget = {
	readonly target: domain.TargetEntry;
	busyCount: number;
	consecutiveErrorCount: number;
	ejectionCount: number;
	ejectedUntilMs: number;
};

type Waiter = {readonly grant: (proxied: ProxiedTarget) => void};

const SERVER_ERROR_STATUS = 500;

/** Picks the less busy of two random targets, and ejects targets after consecutive errors. */
const createTargetSelector = (
	dependencies: {clock: core.Clock; random: core.Random; entry: domain.CatalogueEntry},
	options: IndependentProxyOptions,
) => {
	const {clock, random, entry} = dependencies;
	const proxiedTargets = entry.targets.map<ProxiedTarget>(target => ({
		target,
		busyCount: 0,
		consecutiveErrorCount: 0,
		ejectionCount: 0,
		ejectedUntilMs: 0,
	}));
	const listEjected = (): ProxiedTarget[] =>
		proxiedTargets.filter(({ejectedUntilMs}) => ejectedUntilMs > clock.monotonicMs());
	return {
		listEjected,
		pick(excluded?: ProxiedTarget): ProxiedTarget | undefined {
			const nowMs = clock.monotonicMs();
			const free = proxiedTargets.filter(
				proxied =>
					proxied !== excluded &&
					proxied.ejectedUntilMs <= nowMs &&
					!proxied.target.isDraining &&
					proxied.busyCount < proxied.target.slotCount,
			);
			const drawn = [0, 1].map(() => free[Math.floor(random.fraction() * free.length)]);
			const [first, second] = drawn;
			return first && second && second.busyCount < first.busyCount ? second : first;
		},
		report(proxied: ProxiedTarget, isFailure: boolean): void {
			proxied.consecutiveErrorCount = isFailure ? proxied.consecutiveErrorCount + 1 : 0;
			const mayEject = listEjected().length + 1 <= proxiedTargets.length * options.ejectionLimitRatio;
			if (proxied.consecutiveErrorCount >= options.ejectionErrorCount && mayEject) {
				proxied.ejectionCount++;
				proxied.consecutiveErrorCount = 0;
				proxied.ejectedUntilMs = clock.monotonicMs() + options.ejectionMs * proxied.ejectionCount;
			}
		},
	};
};

const isFailure = (ending: domain.CallEnding): boolean =>
	ending.outcome !== domain.Outcome.Completed || ending.answer.status >= SERVER_ERROR_STATUS;

/**
 * Creates a node of the baseline with its own queue, power-of-two-choices balancing and ejection after consecutive errors.
 * A target counts as full for the node when the node itself uses all of the target's slots.
 */
export const createIndependentProxy = (dependencies: {
	clock: core.Clock;
	random: core.Random;
	targetClient: core.TargetClient;
	entry: domain.CatalogueEntry;
	options?: Partial<IndependentProxyOptions>;
}): IndependentProxy => {
	const {clock, random, targetClient, entry} = dependencies;
	const options = {...DEFAULT_INDEPENDENT_PROXY_OPTIONS, ...dependencies.options};
	const selector = createTargetSelector(dependencies, options);
	const routeTable = core.createRouteTable();
	routeTable.replaceServiceRoutes(entry.service, entry.routes);
	const waiters = new Set<Waiter>();

	const grantNext = (): void => {
		for (let proxied = selector.pick(); proxied && waiters.size > 0; proxied = selector.pick()) {
			const [waiter] = waiters;
			waiters.delete(waiter!);
			proxied.busyCount++;
			waiter!.grant(proxied);
		}
	};

	const acquire = async (signal: AbortSignal, excluded?: ProxiedTarget): Promise<ProxiedTarget | undefined> => {
		const proxied = selector.pick(excluded);
		if (proxied) {
			proxied.busyCount++;
			return proxied;
		}

		return new Promise(resolve => {
			const waiter: Waiter = {grant: resolve};
			waiters.add(waiter);
			signal.addEventListener('abort', () => {
				waiters.delete(waiter);
				resolve(undefined);
			});
		});
	};

	const release = (proxied: ProxiedTarget): void => {
		proxied.busyCount--;
		grantNext();
	};

	const attempt = async (
		proxied: ProxiedTarget,
		call: domain.CallRequest,
		limits: {deadlineAtMs: number; signal: AbortSignal},
	): Promise<domain.CallEnding> => {
		const sent = await targetClient.send(
			proxied.target,
			{
				attemptId: random.token(),
				method: call.method,
				pathAndQuery: call.path + call.query,
				headers: call.headers,
				body: call.body,
				bodyLengthBytes: call.bodyLengthBytes,
				remainingMs: limits.deadlineAtMs - clock.monotonicMs(),
			},
			limits.signal,
		);
		if (sent.isErr()) {
			release(proxied);
			return domain.unknown(domain.RefusalReason.TargetLost, sent.error.detail);
		}

		const body = core.observeBody(sent.value.body, {
			onEnd() {
				release(proxied);
			},
		});
		return domain.completed({...sent.value, body});
	};

	const runAttempts = async (
		call: domain.CallRequest,
		limits: {deadlineAtMs: number; signal: AbortSignal},
	): Promise<domain.CallEnding> => {
		let previous: ProxiedTarget | undefined;
		for (let retryCount = 0; ; retryCount++) {
			const proxied = await acquire(limits.signal, previous);
			if (!proxied) {
				return domain.notRun(domain.RefusalReason.DeadlineExceeded, 'no target was free before the deadline');
			}

			const ending = await attempt(proxied, call, limits);
			selector.report(proxied, isFailure(ending));
			const mayRetry = retryCount < options.retryLimitCount && !call.body && !limits.signal.aborted;
			if (!isFailure(ending) || !mayRetry) {
				return ending;
			}

			if (ending.outcome === domain.Outcome.Completed) {
				await ending.answer.body[Symbol.asyncIterator]().return?.();
			}

			previous = proxied;
		}
	};

	return {
		async handleCall(call, signal) {
			const found = routeTable.findRoute(call.method, call.path);
			if (found.isErr()) {
				return domain.notRun(domain.RefusalReason.UnknownRoute, 'no route accepts the call');
			}

			if (waiters.size >= entry.queue.limitCount) {
				return domain.notRun(domain.RefusalReason.QueueFull, 'the queue of this node is full');
			}

			const deadlineMs = Math.min(found.value.route.deadlineMs, call.deadlineMs ?? Infinity);
			const limits = {deadlineAtMs: clock.monotonicMs() + deadlineMs};
			const result = await core.runWithTimeout({clock, timeoutMs: deadlineMs, signal}, async attemptSignal =>
				runAttempts(call, {...limits, signal: attemptSignal}),
			);
			return result.isTimedOut
				? domain.unknown(domain.RefusalReason.TargetTimedOut, 'the time for the call was up')
				: result.value;
		},
		listEjectedTargets: () => selector.listEjected().map(({target}) => target.targetId),
	};
};

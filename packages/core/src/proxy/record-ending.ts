import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {Registry} from '../registry/registry.js';
import type {CallState} from './call-state.js';

export type EndingRecorderParts = {
	readonly registry: Registry;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
};

/** Counts and logs how a call ended; `state` is absent when the call had no route. */
export type EndingRecorder = (
	call: Pick<domain.ProxiedCall, 'requestId' | 'host' | 'pathAndQuery' | 'receivedAtMs' | 'workspace'> & {
		readonly quotaUsage?: Readonly<Record<string, number>>;
	},
	ending: domain.ProxyEnding,
	state?: CallState,
) => void;

const MS_PER_SECOND = 1000;
const FAILURE_STATUS_MINIMUM = 500;

const describeEnding = (ending: domain.ProxyEnding): Record<string, unknown> => ({
	outcome: ending.outcome,
	...(ending.outcome === domain.ProxyOutcome.Answered && {status: ending.answer.status}),
	...('reason' in ending && {reason: ending.reason}),
	...('retryAfterMs' in ending && {retryAfterMs: Math.round(ending.retryAfterMs ?? 0)}),
});

const isPlainSuccess = (ending: domain.ProxyEnding): boolean =>
	ending.outcome === domain.ProxyOutcome.Answered && ending.answer.status < FAILURE_STATUS_MINIMUM;

export const createEndingRecorder =
	({registry, clock, logger, metrics}: EndingRecorderParts): EndingRecorder =>
	(call, ending, state) => {
		const elapsedMs = clock.monotonicMs() - call.receivedAtMs;
		metrics.increment(ports.CounterName.Calls, {outcome: ending.outcome});
		if ('reason' in ending) {
			metrics.increment(ports.CounterName.Refusals, {reason: ending.reason});
		}

		const workClass = state?.route.isBulk ? domain.WorkClass.Bulk : domain.WorkClass.Short;
		metrics.observe(ports.HistogramName.CallSeconds, {workClass}, elapsedMs / MS_PER_SECOND);
		// Successes are counted in the metrics and logged at debug level only, which limits the log volume under load.
		const log = isPlainSuccess(ending) ? logger.debug : logger.info;
		log('call ended', {
			event: ports.LogEvent.CallEnded,
			requestId: call.requestId,
			routeId: state?.route.routeId,
			service: state?.service,
			workspace: call.workspace,
			quota: call.quotaUsage,
			catalogueVersion: state?.catalogueVersion ?? registry.catalogue()?.version,
			...(state === undefined && {host: call.host, path: call.pathAndQuery.split('?', 1)[0]}),
			registryAgeMs: Math.round(registry.ageMs()),
			catalogueAgeMs: registry.topicAgesMs()[ports.RegistryTopic.Catalogue],
			attempts: state?.sentCount,
			unreachable: state?.unreachableCount,
			elapsedMs: Math.round(elapsedMs),
			predictedWaitMs: state?.lastDenial?.predictedWaitMs,
			roomAfterMs: state?.lastDenial?.roomAfterMs,
			...describeEnding(ending),
		});
	};

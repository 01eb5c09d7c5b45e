import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {DEFAULT_SCHEDULER_OPTIONS, type NodeGuardOptions} from './scheduler-options.js';
import {drawRetryAfter} from './retry-after.js';

/** Refuses calls while the node itself is overloaded. */
export type NodeGuard = {
	/** Returns the refusal, or undefined while the node's load is within its limits. */
	findRefusal(): domain.NotRunEnding | undefined;
};

/** Assumed time until the node's load is within its limits again, in ms. */
const RETRY_AFTER_MS = 1000;

export const createNodeGuard = (dependencies: {
	ports: Pick<ports.NodePorts, 'nodeLoad' | 'random'>;
	options?: Partial<NodeGuardOptions>;
}): NodeGuard => {
	const {nodeLoad, random} = dependencies.ports;
	const options = {...DEFAULT_SCHEDULER_OPTIONS.nodeGuard, ...dependencies.options};
	return {
		findRefusal() {
			const delayMs = nodeLoad.eventLoopDelayMs();
			const residentBytes = nodeLoad.residentBytes();
			if (delayMs <= options.eventLoopDelayLimitMs && residentBytes <= options.residentLimitBytes) {
				return undefined;
			}

			const detail = `the event loop is ${delayMs} ms late and ${residentBytes} bytes are resident; the limits are ${options.eventLoopDelayLimitMs} ms and ${options.residentLimitBytes} bytes`;
			return domain.notRun(domain.RefusalReason.NodeOverloaded, detail, {
				retryAfterMs: drawRetryAfter(random, RETRY_AFTER_MS),
			});
		},
	};
};

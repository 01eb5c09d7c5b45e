import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import type * as ports from '../../ports/index.js';
import {buildTargetGroups} from '../../routing/target-groups.js';
import type {SchedulerRegistry} from '../../scheduling/scheduler-registry.js';
import {createOperationAttemptRunner, type OperationAttempt} from '../operation-attempt.js';

const ignore = (): void => undefined;

const entry = {
	service: 'malipo',
	refusalStatuses: [503],
	targets: [{targetId: 'malipo-01', address: '127.0.0.1:1', region: 'pwani', slotCount: 1}],
} as unknown as domain.CatalogueEntry;

async function* createEmptyBody(): AsyncGenerator<Uint8Array> {
	yield new Uint8Array();
}

// Guards against `not-run` for work that ran, when only the executor's catalogue lists the status of the answer.
test('an answer that the scheduling node did not take for a refusal completes the operation', async t => {
	const runAttempt = createOperationAttemptRunner({
		ports: {
			clock: {monotonicMs: () => 0, sleep: async () => new Promise(ignore)},
			random: {fraction: () => 0},
		} as unknown as ports.NodePorts,
		region: 'pwani',
		schedulers: {listGroups: () => buildTargetGroups(entry)} as unknown as SchedulerRegistry,
		delivery: {
			rankNodes: () => [],
			deliver: async () => domain.completed({status: 503, headers: [], body: createEmptyBody()}),
		},
		answerLimitBytes: 1000,
	});
	const attempt = {entry, route: {answerBodyLimitBytes: 1000}, call: {}} as unknown as OperationAttempt;
	const ending = await runAttempt(attempt, new AbortController().signal);
	t.like(ending, {outcome: domain.Outcome.Completed, status: 503});
});

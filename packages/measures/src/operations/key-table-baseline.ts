import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import type * as fakes from '@bilberrydoor/fakes';

/** Attempts before a node reports that no target could be reached. */
const CONNECT_ATTEMPT_LIMIT_COUNT = 2;

type StoredCall = Promise<domain.CallEnding>;

/** Buffers the whole answer, so that the table can return it again. */
const storeAnswer = async (answer: domain.Answer): StoredCall => {
	const body = await core.bufferBody(answer.body, 1_048_576);
	return body.isOk()
		? domain.completed({...answer, body: core.replayBody(body.value)})
		: domain.unknown(domain.RefusalReason.TargetLost, 'the answer broke off');
};

/**
 * Baseline: each node keeps its own table of endings by idempotency key and sends calls to targets directly. Nodes do not
 * share their tables, so a call that is resubmitted through another node is executed again.
 */
export const createKeyTableBaseline = (fleet: fakes.FakeFleet, deadlineMs: number): fakes.SubmitCall => {
	const tables = new WeakMap<fakes.FakeNode, Map<string, StoredCall>>();
	const {clock, network, random} = fleet;

	const getOrCreateTable = (node: fakes.FakeNode): Map<string, StoredCall> => {
		const table = tables.get(node) ?? new Map<string, StoredCall>();
		tables.set(node, table);
		return table;
	};

	const sendOnce = async (node: fakes.FakeNode, call: domain.CallRequest) => {
		const targets = [...fleet.targets.values()];
		const target = targets[Math.floor(random.fraction() * targets.length)]!;
		const client = network.createTargetClient(node.address, node.host);
		const request = {...call, attemptId: random.token(), pathAndQuery: call.path + call.query, remainingMs: deadlineMs};
		const {signal} = new AbortController();
		return core.runWithTimeout({clock, timeoutMs: deadlineMs, signal}, async sendSignal =>
			client.send(target.entry, request, sendSignal),
		);
	};

	const run = async (node: fakes.FakeNode, call: domain.CallRequest): StoredCall => {
		for (let count = 0; count < CONNECT_ATTEMPT_LIMIT_COUNT; count++) {
			const sent = await sendOnce(node, call);
			if (sent.isTimedOut) {
				return domain.unknown(domain.RefusalReason.TargetTimedOut, 'the target did not answer in time');
			}

			if (sent.value.isOk()) {
				const {status} = sent.value.value;
				return status === 503
					? domain.notRun(domain.RefusalReason.TargetRefused, 'the target refused the work')
					: storeAnswer(sent.value.value);
			}

			if (sent.value.error.kind !== core.TargetErrorKind.Unreachable) {
				return domain.unknown(domain.RefusalReason.TargetLost, sent.value.error.detail);
			}
		}

		return domain.notRun(domain.RefusalReason.TargetUnreachable, 'no target could be reached');
	};

	return async (node, call) => {
		const key = call.headers.find(([name]) => name === 'x-operation')?.[1] ?? '';
		const table = getOrCreateTable(node);
		const stored = table.get(key) ?? run(node, call);
		table.set(key, stored);
		return stored;
	};
};

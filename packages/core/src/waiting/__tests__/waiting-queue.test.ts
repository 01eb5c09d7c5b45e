import test from 'ava';
import {AttemptKind, type WaitingCall} from '../waiting-call.js';
import {createWaitingQueue} from '../waiting-queue.js';

let arrivalCount = 0;
const buildCall = (given: Partial<WaitingCall> = {}): WaitingCall => ({
	priority: 1,
	workspace: '',
	kind: AttemptKind.First,
	arrivalNumber: arrivalCount++,
	objectiveStartMs: 1000,
	deadlineStartMs: 3000,
	workMs: 250,
	...given,
});

/** Gives slots to all calls at one time, and returns them in their order. */
const takeAll = (calls: readonly WaitingCall[], nowMs = 0): readonly WaitingCall[] => {
	const queue = createWaitingQueue();
	calls.forEach(call => {
		queue.add(call, nowMs);
	});
	return calls.map(() => {
		const next = queue.next(nowMs)!;
		queue.take(next);
		return next;
	});
};

const countBy = (calls: readonly WaitingCall[], workspace: string): number =>
	calls.filter(call => call.workspace === workspace).length;

test('calls of a higher priority go first, and those of equal objectives without workspaces in their order of arrival', t => {
	const [low, second, first, third] = [
		buildCall({priority: 2}),
		buildCall({arrivalNumber: 11}),
		buildCall({arrivalNumber: 10}),
		buildCall({arrivalNumber: 12}),
	];
	t.deepEqual(takeAll([low, second, first, third]), [first, second, third, low]);
});

test('among calls of one workspace, the one that has to start first to meet its objective goes first', t => {
	const lookup = buildCall({objectiveStartMs: 800});
	const approval = buildCall({objectiveStartMs: 560});
	t.deepEqual(takeAll([lookup, approval]), [approval, lookup]);
});

// Guards against calls that have missed their objective and hold back others until these miss theirs too.
test('a call that has missed its objective goes behind those that can meet it, in the order of the deadlines', t => {
	const late = buildCall({objectiveStartMs: 90, deadlineStartMs: 2000});
	const laterDeadline = buildCall({objectiveStartMs: 20, deadlineStartMs: 2500});
	const inTime = buildCall({objectiveStartMs: 400});
	t.deepEqual(takeAll([laterDeadline, late, inTime], 100), [inTime, late, laterDeadline]);
});

test('a call that misses its objective while it waits loses its place to calls that can meet theirs', t => {
	const queue = createWaitingQueue();
	const first = buildCall({objectiveStartMs: 50});
	const second = buildCall({objectiveStartMs: 400});
	queue.add(first, 0);
	queue.add(second, 0);
	t.is(queue.next(40), first);
	t.is(queue.next(60), second);
	queue.take(second);
	t.is(queue.next(60), first);
});

// Guards against failed calls that get no second target while first attempts wait.
test('retries go before first attempts, and replacements of running attempts behind them', t => {
	const replacement = buildCall({kind: AttemptKind.Replacement});
	const late = buildCall({objectiveStartMs: -1});
	const first = buildCall();
	const retry = buildCall({kind: AttemptKind.Retry, objectiveStartMs: -1});
	t.deepEqual(takeAll([replacement, late, first, retry]), [retry, first, late, replacement]);
});

// Load: a workspace at 20 times its usual rate beside 9 others at theirs. Guards against an order of arrival, in which it takes
// 20 of 29 slots.
test('a workspace at 20 times its rate gets its share of the slots while others wait', t => {
	const others = Array.from({length: 9}, (_, index) => `workspace-${index}`);
	const calls = Array.from({length: 10}, () => [
		...Array.from({length: 20}, () => buildCall({workspace: 'loud'})),
		...others.map(workspace => buildCall({workspace})),
	]).flat();
	const served = takeAll(calls).slice(0, 100);
	t.true(countBy(served, 'loud') <= 11, `${countBy(served, 'loud')} of 100 slots`);
	others.forEach(workspace => {
		t.true(countBy(served, workspace) >= 9, `${workspace} got ${countBy(served, workspace)} of 10`);
	});
});

test('the shares are of the work, not of the calls', t => {
	const calls = Array.from({length: 80}, () => [
		buildCall({workspace: 'long', workMs: 500}),
		buildCall({workspace: 'short', workMs: 100}),
	]).flat();
	const served = takeAll(calls).slice(0, 60);
	t.true(Math.abs(countBy(served, 'short') - 50) <= 1, `${countBy(served, 'short')} short calls of 60`);
});

// Guards against a share that a workspace saves up while it sends nothing and then takes at once from all others.
test('a workspace that was idle saves up no share', t => {
	const queue = createWaitingQueue();
	const serve = (): WaitingCall => {
		const next = queue.next(0)!;
		queue.take(next);
		return next;
	};

	queue.add(buildCall({workspace: 'idle'}), 0);
	Array.from({length: 200}).forEach(() => {
		queue.add(buildCall({workspace: 'busy'}), 0);
	});
	Array.from({length: 100}).forEach(serve);
	Array.from({length: 50}).forEach(() => {
		queue.add(buildCall({workspace: 'idle'}), 0);
	});
	const served = Array.from({length: 40}, serve);
	t.true(Math.abs(countBy(served, 'idle') - 20) <= 1, `${countBy(served, 'idle')} of 40`);
});

// Guards against retries of one workspace after which a new call of another one is placed behind calls that arrived later.
test('a retry out of turn does not move the turns of the other workspaces', t => {
	const queue = createWaitingQueue();
	Array.from({length: 20}).forEach(() => {
		queue.add(buildCall({workspace: 'loud', kind: AttemptKind.Retry}), 0);
	});
	queue.add(buildCall({workspace: 'quiet'}), 0);
	Array.from({length: 20}).forEach(() => {
		queue.take(queue.next(0)!);
	});
	queue.add(buildCall({workspace: 'loud'}), 0);
	queue.add(buildCall({workspace: 'new'}), 0);
	const order = Array.from({length: 3}, () => {
		const next = queue.next(0)!;
		queue.take(next);
		return next.workspace;
	});
	t.deepEqual(order, ['quiet', 'new', 'loud']);
});

// Guards against predictions from calls that are not ahead: of a workspace with many calls, or of a lower priority.
test('the predicted work before a call is that of the calls that get slots before it', t => {
	const others = Array.from({length: 12}, (_, index) => `workspace-${index}`);
	const calls = [
		...Array.from({length: 60}, () => buildCall({workspace: 'loud', workMs: 100})),
		...others.flatMap(workspace => [buildCall({workspace}), buildCall({workspace, workMs: 420})]),
		...Array.from({length: 5}, () => buildCall({kind: AttemptKind.Retry, workspace: others[0]})),
		...Array.from({length: 5}, () => buildCall({priority: 0})),
		...Array.from({length: 30}, () => buildCall({priority: 2})),
		...Array.from({length: 30}, () => buildCall({objectiveStartMs: -1})),
	];
	const probes = [
		buildCall({workspace: 'loud'}),
		buildCall({workspace: 'new'}),
		buildCall({workspace: others[3]}),
		buildCall({workspace: 'new', objectiveStartMs: -1}),
		buildCall({workspace: 'new', priority: 3}),
	];
	probes.forEach(probe => {
		const queue = createWaitingQueue();
		calls.forEach(call => {
			queue.add(call, 0);
		});
		const predictedMs = queue.workBeforeMs(probe, 0);
		queue.add(probe, 0);
		let servedMs = 0;
		for (let next = queue.next(0)!; next !== probe; next = queue.next(0)!) {
			queue.take(next);
			servedMs += next.workMs;
		}

		// One call more or less of each workspace, since calls are not divided.
		const toleranceMs = 14 * 420;
		t.true(
			Math.abs(predictedMs - servedMs) <= Math.min(toleranceMs, 0.25 * servedMs + 420),
			`${predictedMs} ms predicted, ${servedMs} ms served`,
		);
	});
});

test('calls that leave take nothing from the sums', t => {
	const queue = createWaitingQueue();
	const calls = Array.from({length: 30}, (_, index) => buildCall({workspace: `w-${index % 4}`, priority: index % 3}));
	calls.forEach(call => {
		queue.add(call, 0);
	});
	calls.forEach(call => {
		queue.remove(call);
	});
	t.is(queue.count(), 0);
	t.is(queue.next(0), undefined);
	t.is(queue.workBeforeMs(buildCall({priority: 9}), 0), 0);
});

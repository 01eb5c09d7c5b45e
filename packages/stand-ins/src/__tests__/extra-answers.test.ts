import * as net from 'node:net';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import test, {type ExecutionContext} from 'ava';

/** Request as a target receives it, with functions that write to its connection. */
type ReceivedRequest = {
	readonly path: string;
	/** Writes an answer to this request. */
	answer(status: number): void;
	/** Writes the previous answer on the connection once more, if there is one. */
	repeatPrevious(): void;
};

const REQUEST_LINE_PATTERN = /^\S+ (\S+) /;
const ATTEMPT_ID_PATTERN = /^(bilberrydoor-attempt-id: .*)$/im;

/** Starts a target that can send answers twice, and repeats attempt ids by default. Requests have no bodies. */
const startTarget = async (
	t: ExecutionContext,
	handle: (request: ReceivedRequest) => void,
	{isRepeatingIds = true}: {isRepeatingIds?: boolean} = {},
): Promise<string> => {
	const server = net.createServer(socket => {
		let previous = '';
		socket.on('error', () => undefined);
		t.teardown(() => socket.destroy());
		socket.on('data', chunk => {
			const head = chunk.toString('latin1');
			const path = REQUEST_LINE_PATTERN.exec(head)![1]!;
			const attemptLine = isRepeatingIds ? ATTEMPT_ID_PATTERN.exec(head)?.[1] : undefined;
			const before = previous;
			handle({
				path,
				answer(status) {
					const lines = [`HTTP/1.1 ${status} Status`, ...(attemptLine === undefined ? [] : [attemptLine])];
					previous = [...lines, `content-length: ${path.length}`, '', path].join('\r\n');
					socket.write(previous);
				},
				repeatPrevious() {
					socket.write(before);
				},
			});
		});
	});
	server.listen(0, '127.0.0.1');
	await new Promise(resolve => {
		server.once('listening', resolve);
	});
	t.teardown(() => server.close());
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
};

/** Schedules calls on targets over real connections, one connection and one slot for each target. */
const startScheduler = (t: ExecutionContext, addresses: readonly string[]) => {
	const clock = adapters.createSystemClock();
	const place = {region: 'pwani', availabilityZone: 'kinondoni'};
	const targets = fakes
		.buildTargets({service: 's', count: addresses.length, slotCount: 1, places: [place]})
		.map((target, index) => ({...target, address: addresses[index]!, connectionLimit: 1}));
	const entry = fakes.buildEntry({service: 's', targets, retryBudgetRatio: 1});
	const targetClient = adapters.createUndiciTargetClient();
	const metrics = fakes.createFakeMetrics();
	const scheduler = core.createGroupScheduler({
		ports: {
			clock,
			targetClient,
			metrics,
			logger: fakes.createSilentLogger(),
			random: adapters.createSystemRandom(),
			nodeLoad: {eventLoopDelayMs: () => 0, residentBytes: () => 0},
		} as unknown as core.NodePorts,
		group: core.buildTargetGroups(entry)[0]!,
		entry,
	});
	const controller = new AbortController();
	void scheduler.run(controller.signal);
	t.teardown(async () => {
		controller.abort();
		await targetClient.close();
	});
	const send = async (path: string, repeatability: domain.Repeatability): Promise<string> => {
		const route = fakes.buildRoute({repeatability});
		const call = fakes.buildCall({path});
		const deadlineAtMs = clock.monotonicMs() + route.deadlineMs;
		const ending = await scheduler.schedule({call, route, deadlineAtMs}, new AbortController().signal);
		return ending.outcome === domain.Outcome.Completed
			? `completed with the answer to ${await fakes.readText(ending.answer.body)}`
			: `${ending.outcome} ${ending.reason}`;
	};

	return {send, metrics, targets, targetClient};
};

/** Endings of a call that its target ran. A copy takes the place of its answer, unless a health probe got the copy before. */
const listTrueEndings = (path: string): readonly string[] => [
	'unknown target-lost',
	`completed with the answer to ${path}`,
];

const REPEATED_ANSWERS = [
	{kind: 'a success', status: 200, firstEnding: 'completed with the answer to /first'},
	{kind: 'a failure', status: 500, firstEnding: 'completed with the answer to /first'},
	{kind: 'a refusal', status: 503, firstEnding: 'not-run target-refused'},
];

// Guards against the answer to another call, and against `not-run` for work that the target is running.
REPEATED_ANSWERS.forEach(({kind, status, firstEnding}) => {
	test(`a late copy of ${kind} is not taken for the answer to the next call`, async t => {
		const runPaths: string[] = [];
		const address = await startTarget(t, request => {
			runPaths.push(...(request.path === '/healthz' ? [] : [request.path]));
			request.repeatPrevious();
			request.answer(request.path === '/first' ? status : 200);
		});
		const {send, metrics} = startScheduler(t, [address]);
		t.is(await send('/first', domain.Repeatability.Single), firstEnding);
		const ending = await send('/second', domain.Repeatability.Single);
		t.true(listTrueEndings('/second').includes(ending), ending);
		t.is(metrics.sum(core.CounterName.MismatchedAnswers), ending === 'unknown target-lost' ? 1 : 0);
		// Where a copy arrived, the answer to the second call is still due on its connection, so the third call needs another one.
		const lastEnding = await send('/third', domain.Repeatability.Single);
		t.true(listTrueEndings('/third').includes(lastEnding), lastEnding);
		t.deepEqual(runPaths, ['/first', '/second', '/third']);
	});
});

// Guards against `not-run` for a call that was refused, tried again at the same target and is running there.
test('a late copy of a refusal does not refuse a later attempt of the same call', async t => {
	let runCount = 0;
	const startRefusingTarget = async (): Promise<string> => {
		let receivedCount = 0;
		return startTarget(t, request => {
			receivedCount += request.path === '/refused' ? 1 : 0;
			if (receivedCount === 2) {
				runCount++;
				request.repeatPrevious();
				return;
			}

			request.answer(request.path === '/refused' ? 503 : 200);
		});
	};

	const {send} = startScheduler(t, [await startRefusingTarget(), await startRefusingTarget()]);
	// The retry budget starts empty and saves one retry for each call.
	t.is(await send('/saved', domain.Repeatability.Repeatable), 'completed with the answer to /saved');
	const ending = await send('/refused', domain.Repeatability.Repeatable);
	t.is(runCount, 1);
	t.is(ending, 'unknown target-lost');
});

// Guards against the answer to a health probe that is passed to a caller, and against a target judged by the answer to a call.
test('late copies are not exchanged between calls and probes', async t => {
	const address = await startTarget(t, request => {
		request.repeatPrevious();
		request.answer(request.path === '/healthz' ? 200 : 500);
	});
	const {send, targets, targetClient} = startScheduler(t, [address]);
	const probe = async () => targetClient.probe(targets[0]!, 'probe', new AbortController().signal);
	t.true((await probe()).isOk());
	const ending = await send('/first', domain.Repeatability.Single);
	t.true(listTrueEndings('/first').includes(ending), ending);
	const secondEnding = await send('/second', domain.Repeatability.Single);
	t.true(listTrueEndings('/second').includes(secondEnding), secondEnding);
	const probed = await probe();
	t.true(probed.isOk() ? probed.value.isReady : probed.error.kind === core.TargetErrorKind.Mismatched);
});

// Guards against targets that lose their calls because they do not know the header, and against a `not-run` without proof.
test('a target that does not repeat attempt ids is served, and its refusal proves nothing', async t => {
	const address = await startTarget(
		t,
		request => {
			request.answer(request.path === '/refused' ? 503 : 200);
		},
		{isRepeatingIds: false},
	);
	const {send, metrics} = startScheduler(t, [address]);
	t.is(await send('/first', domain.Repeatability.Single), 'completed with the answer to /first');
	t.is(await send('/refused', domain.Repeatability.Single), 'unknown target-refused');
	t.is(metrics.sum(core.CounterName.UnconfirmedAnswers), 2);
});

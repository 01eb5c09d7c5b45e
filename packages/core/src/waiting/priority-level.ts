import {createOrderedTree, type OrderedTree} from './ordered-tree.js';
import {createCallComparison, WaitingClass, type WaitingCall} from './waiting-call.js';

/** Classes in the order in which they get slots. */
const CLASSES: readonly WaitingClass[] = [
	WaitingClass.Retry,
	WaitingClass.InTime,
	WaitingClass.Late,
	WaitingClass.Replacement,
];

/** Workspaces that a prediction looks at; the work of further ones is estimated by their mean. */
const PREDICTED_FLOW_LIMIT_COUNT = 128;

/** Idle workspaces that are kept before those that owe nothing are removed. */
const IDLE_FLOW_LIMIT_COUNT = 64;

/** Waiting calls of one workspace. */
type Flow<Call extends WaitingCall> = {
	readonly workspace: string;
	/** Virtual time at which the next call of the workspace is due, in ms of work. */
	tagMs: number;
	/** Orders flows that are due at the same virtual time. */
	turnNumber: number;
	readonly calls: Readonly<Record<WaitingClass, OrderedTree<Call, WaitingCall>>>;
};

/**
 * Waiting calls of one priority, by start-time fair queueing: a workspace's next call is due when its earlier ones have had their
 * share, so that a workspace gets at most its part of the slots while others wait, and unused parts go to the others.
 */
export type PriorityLevel<Call extends WaitingCall> = {
	add(call: Call, waitingClass: WaitingClass): void;
	remove(call: Call, waitingClass: WaitingClass): void;
	/** Accounts for a call that got a slot. Must follow its removal. */
	charge(call: Call): void;
	/** The next call to get a slot. */
	next(): {readonly call: Call; readonly waitingClass: WaitingClass} | undefined;
	count(): number;
	/** Work of all calls, in ms. */
	workMs(): number;
	/** Work of the calls that get slots before a new one, in ms. */
	workBeforeMs(call: WaitingCall, waitingClass: WaitingClass): number;
};

const sumOf = (figures: readonly number[]): number => figures.reduce((sum, figure) => sum + figure, 0);

export const createPriorityLevel = <Call extends WaitingCall>(): PriorityLevel<Call> => {
	const flows = new Map<string, Flow<Call>>();
	let turnCount = 0;
	/** Virtual time: the earliest tag of the waiting workspaces when a call got a slot, in ms of work. */
	let virtualMs = 0;

	const createFlowTree = () =>
		createOrderedTree<Flow<Call>>({
			compare: (left, right) => left.tagMs - right.tagMs || left.turnNumber - right.turnNumber,
			readWorkMs: () => 0,
		});
	const createCallTree = (waitingClass: WaitingClass) =>
		createOrderedTree<Call, WaitingCall>({
			compare: createCallComparison(waitingClass),
			readWorkMs: ({workMs}) => workMs,
		});
	const forEachClass = <Value>(create: (waitingClass: WaitingClass) => Value): Record<WaitingClass, Value> => ({
		[WaitingClass.Retry]: create(WaitingClass.Retry),
		[WaitingClass.InTime]: create(WaitingClass.InTime),
		[WaitingClass.Late]: create(WaitingClass.Late),
		[WaitingClass.Replacement]: create(WaitingClass.Replacement),
	});
	/** Workspaces with calls of a class, the one that is due first at the front. */
	const dueFlows = forEachClass(createFlowTree);
	const classWorkMs = forEachClass(() => 0);
	const classCounts = forEachClass(() => 0);

	const isIdle = ({calls}: Flow<Call>): boolean => CLASSES.every(waitingClass => calls[waitingClass].count() === 0);

	const removeSettledFlows = (): void => {
		[...flows.values()]
			.filter(flow => isIdle(flow) && flow.tagMs <= virtualMs)
			.forEach(({workspace}) => {
				flows.delete(workspace);
			});
	};

	const findOrCreateFlow = (workspace: string): Flow<Call> => {
		const existing = flows.get(workspace);
		if (existing) {
			return existing;
		}

		const activeCount = Math.max(...CLASSES.map(waitingClass => dueFlows[waitingClass].count()));
		if (flows.size > 2 * activeCount + IDLE_FLOW_LIMIT_COUNT) {
			removeSettledFlows();
		}

		const flow = {workspace, tagMs: virtualMs, turnNumber: turnCount++, calls: forEachClass(createCallTree)};
		flows.set(workspace, flow);
		return flow;
	};

	/** Changes when a flow is due, and its place among the others with it. */
	const setTag = (flow: Flow<Call>, tagMs: number): void => {
		const waitingClasses = CLASSES.filter(waitingClass => flow.calls[waitingClass].count() > 0);
		waitingClasses.forEach(waitingClass => {
			dueFlows[waitingClass].remove(flow);
		});
		flow.tagMs = tagMs;
		flow.turnNumber = turnCount++;
		waitingClasses.forEach(waitingClass => {
			dueFlows[waitingClass].add(flow);
		});
	};

	/** Work of the calls of the same class that get slots before a new call of a workspace. */
	const workBeforeInClassMs = (call: WaitingCall, waitingClass: WaitingClass): number => {
		const own = flows.get(call.workspace);
		const ownWorkMs = own?.calls[waitingClass].before(call).workMs ?? 0;
		const startTagMs = Math.max(virtualMs, own?.tagMs ?? virtualMs) + ownWorkMs;
		const others = dueFlows[waitingClass]
			.listFirst(PREDICTED_FLOW_LIMIT_COUNT)
			.filter(flow => flow !== own && flow.tagMs <= startTagMs);
		const otherWorkMs = sumOf(
			others.map(({calls, tagMs}) => {
				const waiting = calls[waitingClass];
				return Math.min(waiting.workMs(), startTagMs - tagMs + (waiting.first()?.workMs ?? 0));
			}),
		);
		const isWhole = others.length < PREDICTED_FLOW_LIMIT_COUNT - 1;
		const dueCount = isWhole
			? others.length
			: dueFlows[waitingClass].before({
					workspace: call.workspace,
					tagMs: startTagMs,
					turnNumber: turnCount,
					calls: own?.calls ?? others[0]!.calls,
				}).count;
		return ownWorkMs + otherWorkMs * (isWhole ? 1 : dueCount / others.length);
	};

	return {
		add(call, waitingClass) {
			const flow = findOrCreateFlow(call.workspace);
			if (isIdle(flow) && flow.tagMs < virtualMs) {
				// An idle workspace saves up no share.
				setTag(flow, virtualMs);
			}

			const calls = flow.calls[waitingClass];
			calls.add(call);
			classWorkMs[waitingClass] += call.workMs;
			classCounts[waitingClass]++;
			if (calls.count() === 1) {
				dueFlows[waitingClass].add(flow);
			}
		},
		remove(call, waitingClass) {
			const flow = flows.get(call.workspace)!;
			const calls = flow.calls[waitingClass];
			calls.remove(call);
			classWorkMs[waitingClass] -= call.workMs;
			classCounts[waitingClass]--;
			if (calls.count() === 0) {
				dueFlows[waitingClass].remove(flow);
			}
		},
		charge({workspace, workMs}) {
			const flow = flows.get(workspace)!;
			// A retry may go before calls of workspaces that are due earlier, so virtual time follows the earliest.
			const dueTagsMs = CLASSES.map(waitingClass => dueFlows[waitingClass].first()?.tagMs ?? flow.tagMs);
			virtualMs = Math.max(virtualMs, Math.min(flow.tagMs, ...dueTagsMs));
			setTag(flow, Math.max(virtualMs, flow.tagMs) + workMs);
		},
		next() {
			const waitingClass = CLASSES.find(candidate => classCounts[candidate] > 0);
			if (waitingClass === undefined) {
				return undefined;
			}

			return {call: dueFlows[waitingClass].first()!.calls[waitingClass].first()!, waitingClass};
		},
		count: () => sumOf(CLASSES.map(waitingClass => classCounts[waitingClass])),
		workMs: () => sumOf(CLASSES.map(waitingClass => classWorkMs[waitingClass])),
		workBeforeMs(call, waitingClass) {
			const earlier = CLASSES.filter(candidate => candidate < waitingClass);
			const earlierWorkMs = sumOf(earlier.map(candidate => classWorkMs[candidate]));
			return earlierWorkMs + workBeforeInClassMs(call, waitingClass);
		},
	};
};

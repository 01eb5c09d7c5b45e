import {createLinkedQueue, type LinkedQueue, type QueuePlace} from './linked-queue.js';

/** Properties of an item that determine its place in the queue. */
export type FairQueueItem = {
	readonly workspace: string;
	/** Relative weight of the workspace; values of at least 1 keep the cost of each step constant. */
	readonly weight: number;
};

/**
 * Queue of one class of work with deficit round robin between workspaces. A turn of a workspace is the removal of the
 * item that is next in the queue.
 */
export type FairQueue<T extends FairQueueItem> = {
	readonly size: () => number;
	/** Sum of the weights of the workspaces with waiting items. */
	readonly activeWeight: () => number;
	/** Number of waiting items of a workspace. */
	countWorkspace(workspace: string): number;
	/**
	 * Predicted wait of a new item of the workspace, from the mean interval between its recent turns, in ms; 0 before
	 * enough turns have been measured.
	 */
	predictWaitMs(workspace: string): number;
	/** The item whose turn it is. */
	peek(): T | undefined;
	/** Adds an item and returns a function that removes it; it returns false when the item was removed before. */
	push(item: T): () => boolean;
};

type WorkspaceQueue<T> = {
	readonly workspace: string;
	readonly items: LinkedQueue<T>;
	readonly weight: number;
	deficit: number;
	lastTurnAtMs: number;
	/** Mean time between two turns, in ms. */
	intervalMs: number;
	turnCount: number;
	place?: QueuePlace<WorkspaceQueue<T>>;
};

/** Weight of a new interval in the mean interval between two turns. */
const INTERVAL_GAIN = 0.1;
/** Turns of a workspace before its mean interval is used for predictions. */
const MIN_TURN_COUNT_FOR_PREDICTION = 5;

/** Creates a queue in which the cost of each operation does not depend on the number of workspaces. */
export const createFairQueue = <T extends FairQueueItem>(monotonicMs: () => number): FairQueue<T> => {
	const byWorkspace = new Map<string, WorkspaceQueue<T>>();
	const ring = createLinkedQueue<WorkspaceQueue<T>>();
	let size = 0;
	let activeWeight = 0;

	const openWorkspaceQueue = (item: T): WorkspaceQueue<T> => {
		const existing = byWorkspace.get(item.workspace);
		if (existing) {
			return existing;
		}

		const weight = Math.max(1, item.weight);
		const opened: WorkspaceQueue<T> = {
			workspace: item.workspace,
			items: createLinkedQueue<T>(),
			weight,
			deficit: weight,
			lastTurnAtMs: monotonicMs(),
			intervalMs: 0,
			turnCount: 0,
		};
		opened.place = ring.push(opened);
		byWorkspace.set(item.workspace, opened);
		activeWeight += weight;
		return opened;
	};

	const closeWorkspaceQueue = (queue: WorkspaceQueue<T>): void => {
		ring.remove(queue.place!);
		byWorkspace.delete(queue.workspace);
		activeWeight = ring.size() === 0 ? 0 : activeWeight - queue.weight;
	};

	const recordTurn = (queue: WorkspaceQueue<T>): void => {
		const nowMs = monotonicMs();
		const gain = Math.max(INTERVAL_GAIN, 1 / ++queue.turnCount);
		queue.intervalMs += (nowMs - queue.lastTurnAtMs - queue.intervalMs) * gain;
		queue.lastTurnAtMs = nowMs;
	};

	const takeTurn = (queue: WorkspaceQueue<T>): void => {
		recordTurn(queue);
		queue.deficit--;
		if (queue.deficit < 1) {
			queue.deficit += queue.weight;
			ring.rotate();
		}
	};

	const remove = (queue: WorkspaceQueue<T>, place: QueuePlace<T>): boolean => {
		const isNext = ring.peek() === queue && queue.items.peek() === place.item;
		if (!queue.items.remove(place)) {
			return false;
		}

		size--;
		if (queue.items.size() === 0) {
			closeWorkspaceQueue(queue);
		} else if (isNext) {
			takeTurn(queue);
		}

		return true;
	};

	return {
		size: () => size,
		predictWaitMs(workspace) {
			const queue = byWorkspace.get(workspace);
			return queue && queue.turnCount >= MIN_TURN_COUNT_FOR_PREDICTION
				? (queue.items.size() + 1) * queue.intervalMs
				: 0;
		},
		countWorkspace: workspace => byWorkspace.get(workspace)?.items.size() ?? 0,
		activeWeight: () => activeWeight,
		peek: () => ring.peek()?.items.peek(),
		push(item) {
			const queue = openWorkspaceQueue(item);
			const place = queue.items.push(item);
			size++;
			return () => remove(queue, place);
		},
	};
};

import {createLinkedQueue, type LinkedQueue, type QueuePlace} from './linked-queue.js';

/** What the queue needs to know of an item. */
export type FairQueueItem = {
	readonly workspace: string;
	/** Relative share of the workspace; 1 or more keeps the cost of a step constant. */
	readonly weight: number;
};

/** Queue of one class of work with deficit round robin between workspaces. */
export type FairQueue<T extends FairQueueItem> = {
	readonly size: () => number;
	/** Sum of the weights of the workspaces that wait. */
	readonly activeWeight: () => number;
	/** Number of waiting items of a workspace. */
	countWorkspace(workspace: string): number;
	/** Time that the waiting items of a workspace take at the pace of its last turns, in ms; 0 before it has a pace. */
	predictWaitMs(workspace: string): number;
	/** The item whose turn it is. */
	peek(): T | undefined;
	/** Adds an item and returns a function that removes it; that function returns false when the item has gone. */
	push(item: T): () => boolean;
};

type WorkspaceQueue<T> = {
	readonly workspace: string;
	readonly items: LinkedQueue<T>;
	readonly weight: number;
	deficit: number;
	servedAtMs: number;
	/** Mean time between two turns, in ms. */
	intervalMs: number;
	turnCount: number;
	place?: QueuePlace<WorkspaceQueue<T>>;
};

/** Weight of the last interval between two turns. */
const INTERVAL_GAIN = 0.1;
/** Turns before a workspace has a pace. */
const PACE_TURN_COUNT = 5;

/** Creates a queue in which each operation costs the same for any number of workspaces. */
export const createFairQueue = <T extends FairQueueItem>(monotonicMs: () => number): FairQueue<T> => {
	const byWorkspace = new Map<string, WorkspaceQueue<T>>();
	const ring = createLinkedQueue<WorkspaceQueue<T>>();
	let size = 0;
	let activeWeight = 0;

	const openWorkspace = (item: T): WorkspaceQueue<T> => {
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
			servedAtMs: monotonicMs(),
			intervalMs: 0,
			turnCount: 0,
		};
		opened.place = ring.push(opened);
		byWorkspace.set(item.workspace, opened);
		activeWeight += weight;
		return opened;
	};

	const closeWorkspace = (queue: WorkspaceQueue<T>): void => {
		ring.remove(queue.place!);
		byWorkspace.delete(queue.workspace);
		activeWeight = ring.size() === 0 ? 0 : activeWeight - queue.weight;
	};

	const recordTurn = (queue: WorkspaceQueue<T>): void => {
		const nowMs = monotonicMs();
		const gain = Math.max(INTERVAL_GAIN, 1 / ++queue.turnCount);
		queue.intervalMs += (nowMs - queue.servedAtMs - queue.intervalMs) * gain;
		queue.servedAtMs = nowMs;
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
		const isTurn = ring.peek() === queue && queue.items.peek() === place.item;
		if (!queue.items.remove(place)) {
			return false;
		}

		size--;
		if (queue.items.size() === 0) {
			closeWorkspace(queue);
		} else if (isTurn) {
			takeTurn(queue);
		}

		return true;
	};

	return {
		size: () => size,
		predictWaitMs(workspace) {
			const queue = byWorkspace.get(workspace);
			return queue && queue.turnCount >= PACE_TURN_COUNT ? (queue.items.size() + 1) * queue.intervalMs : 0;
		},
		countWorkspace: workspace => byWorkspace.get(workspace)?.items.size() ?? 0,
		activeWeight: () => activeWeight,
		peek: () => ring.peek()?.items.peek(),
		push(item) {
			const queue = openWorkspace(item);
			const place = queue.items.push(item);
			size++;
			return () => remove(queue, place);
		},
	};
};

/** List element of a {@link LinkedQueue}, by which its item can be removed. */
export type QueuePlace<T> = {
	readonly item: T;
	previous?: QueuePlace<T>;
	next?: QueuePlace<T>;
	isQueued: boolean;
};

/** First-in-first-out queue from which any item is removed in constant time. */
export type LinkedQueue<T> = {
	readonly size: () => number;
	peek(): T | undefined;
	push(item: T): QueuePlace<T>;
	/** Removes an item; false when it has been removed before. */
	remove(place: QueuePlace<T>): boolean;
	/** Moves the first item to the end. */
	rotate(): void;
};

export const createLinkedQueue = <T>(): LinkedQueue<T> => {
	let first: QueuePlace<T> | undefined;
	let last: QueuePlace<T> | undefined;
	let size = 0;

	const append = (place: QueuePlace<T>): void => {
		place.previous = last;
		place.next = undefined;
		place.isQueued = true;
		if (last) {
			last.next = place;
		} else {
			first = place;
		}

		last = place;
		size++;
	};

	const remove = (place: QueuePlace<T>): boolean => {
		if (!place.isQueued) {
			return false;
		}

		place.isQueued = false;
		size--;
		if (place.previous) {
			place.previous.next = place.next;
		} else {
			first = place.next;
		}

		if (place.next) {
			place.next.previous = place.previous;
		} else {
			last = place.previous;
		}

		return true;
	};

	return {
		size: () => size,
		peek: () => first?.item,
		push(item) {
			const place: QueuePlace<T> = {item, isQueued: false};
			append(place);
			return place;
		},
		remove,
		rotate() {
			const place = first;
			if (place && place !== last) {
				remove(place);
				append(place);
			}
		},
	};
};

/** A map of limited size that evicts the value set longest ago. Reads do not change the order. */
export type RecentMap<Key, Value> = {
	get(key: Key): Value | undefined;
	/** Sets a value as the newest. Returns the evicted value, if any. */
	set(key: Key, value: Value): Value | undefined;
	delete(key: Key): void;
	/** Removes all values and returns them. */
	removeAll(): readonly Value[];
};

export const createRecentMap = <Key, Value>(limitCount: number): RecentMap<Key, Value> => {
	// A Map iterates over its keys in insertion order.
	const entries = new Map<Key, Value>();
	return {
		get: key => entries.get(key),
		set(key, value) {
			entries.delete(key);
			entries.set(key, value);
			if (entries.size <= limitCount) {
				return undefined;
			}

			const [oldestKey, oldest] = entries.entries().next().value!;
			entries.delete(oldestKey);
			return oldest;
		},
		delete(key) {
			entries.delete(key);
		},
		removeAll() {
			const values = [...entries.values()];
			entries.clear();
			return values;
		},
	};
};

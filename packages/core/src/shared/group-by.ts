/** Groups items by a key, in their order. `Map.groupBy` needs Node.js 21. */
export const groupBy = <Item, Key>(items: Iterable<Item>, readKey: (item: Item) => Key): Map<Key, Item[]> => {
	const groups = new Map<Key, Item[]>();
	[...items].forEach(item => {
		const key = readKey(item);
		const group = groups.get(key);
		if (group) {
			group.push(item);
			return;
		}

		groups.set(key, [item]);
	});
	return groups;
};

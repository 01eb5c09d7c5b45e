import type * as ports from '../ports/index.js';

/** A set of which a few items can be drawn at random, at a cost that does not depend on its size. */
export type SampledSet<Item> = {
	add(item: Item): void;
	delete(item: Item): void;
	count(): number;
	list(): readonly Item[];
	/** All items if there are at most `limitCount`, and otherwise that many draws, which may repeat an item. */
	draw(limitCount: number, random: Pick<ports.Random, 'fraction'>): readonly Item[];
};

export const createSampledSet = <Item>(): SampledSet<Item> => {
	const items: Item[] = [];
	const indexes = new Map<Item, number>();
	return {
		add(item) {
			if (!indexes.has(item)) {
				indexes.set(item, items.length);
				items.push(item);
			}
		},
		delete(item) {
			const index = indexes.get(item);
			if (index === undefined) {
				return;
			}

			// The last item takes the place of the removed one.
			const last = items.pop()!;
			indexes.delete(item);
			if (last !== item) {
				items[index] = last;
				indexes.set(last, index);
			}
		},
		count: () => items.length,
		list: () => items,
		draw: (limitCount, random) =>
			items.length <= limitCount
				? items
				: Array.from({length: limitCount}, () => items[Math.floor(random.fraction() * items.length)]!),
	};
};

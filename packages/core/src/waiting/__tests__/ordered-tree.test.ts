import test from 'ava';
import * as fastCheck from 'fast-check';
import {createOrderedTree} from '../ordered-tree.js';

type Item = {readonly key: number; readonly workMs: number};

const compare = (left: Item, right: Item): number => left.key - right.key;
const sumWork = (items: readonly Item[]): number => items.reduce((sum, {workMs}) => sum + workMs, 0);

// Guards against sums that are wrong after a rotation, and against items that are lost by one.
test('a tree has the items, the order and the sums of a sorted list', t => {
	const steps = fastCheck.array(
		fastCheck.record({isAdded: fastCheck.boolean(), key: fastCheck.nat(40), workMs: fastCheck.nat(500)}),
		{maxLength: 120},
	);
	fastCheck.assert(
		fastCheck.property(steps, fastCheck.nat(40), (changes, probeKey) => {
			const tree = createOrderedTree<Item>({compare, readWorkMs: ({workMs}) => workMs});
			const model = new Map<number, Item>();
			changes.forEach(({isAdded, key, workMs}) => {
				const known = model.get(key);
				if (isAdded && !known) {
					model.set(key, {key, workMs});
					tree.add({key, workMs});
				} else if (!isAdded && known) {
					model.delete(key);
					tree.remove(known);
				}
			});
			const sorted = [...model.values()].toSorted(compare);
			const before = sorted.filter(({key}) => key < probeKey);
			t.deepEqual(tree.listFirst(1000), sorted);
			t.deepEqual(tree.listFirst(3), sorted.slice(0, 3));
			t.deepEqual(tree.first(), sorted[0]);
			t.is(tree.count(), sorted.length);
			t.is(tree.workMs(), sumWork(sorted));
			t.deepEqual(tree.before({key: probeKey, workMs: 0}), {count: before.length, workMs: sumWork(before)});
		}),
		{seed: 7, numRuns: 300},
	);
});

/** Mean number of comparisons to add and remove an item among `count` others that arrived in their order. */
const countComparisons = (count: number): number => {
	let comparisonCount = 0;
	const tree = createOrderedTree<Item>({
		compare(left, right) {
			comparisonCount++;
			return compare(left, right);
		},
		readWorkMs: () => 1,
	});
	const items = Array.from({length: 2 * count}, (_, key) => ({key, workMs: 1}));
	items.slice(0, count).forEach(item => {
		tree.add(item);
	});
	comparisonCount = 0;
	items.slice(count).forEach(item => {
		tree.add(item);
		tree.remove(tree.first()!);
	});
	return comparisonCount / count;
};

// Guards against a queue whose order costs in proportion to the waiting calls.
test('the comparisons for an item grow with the logarithm of the number of items', t => {
	const [few, many] = [countComparisons(100), countComparisons(10_000)];
	t.true(many <= 2.2 * few, `${few} comparisons at 100 items, ${many} at 10,000`);
});

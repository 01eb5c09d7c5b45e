/** Size ratio of two sibling subtrees from which they are balanced, and the one that decides on a double rotation. */
const BALANCE_FACTOR = 3;
const ROTATION_FACTOR = 2;

type Node<Item> = {
	readonly item: Item;
	readonly left: Node<Item> | undefined;
	readonly right: Node<Item> | undefined;
	readonly count: number;
	readonly workMs: number;
};

type Subtree<Item> = Node<Item> | undefined;

/**
 * Items in an order, with the sum of their work. Adding, removing and summing up to an item cost the logarithm of their number. The
 * installed library of trees (`bintrees`) keeps no sums.
 */
export type OrderedTree<Item, Key = Item> = {
	add(item: Item): void;
	remove(item: Item): void;
	first(): Item | undefined;
	count(): number;
	/** Work of all items, in ms. */
	workMs(): number;
	/** Number of the items before a place in their order, and their work. */
	before(key: Key): {readonly count: number; readonly workMs: number};
	/** The first items in their order, at most `limitCount`. */
	listFirst(limitCount: number): readonly Item[];
};

export type OrderedTreeParts<Item, Key = Item> = {
	/** A total order: 0 only for the same item. */
	readonly compare: (left: Key, right: Key) => number;
	/** Work of an item in ms; must not change while the item is in the tree. */
	readonly readWorkMs: (item: Item) => number;
};

const countOf = <Item>(node: Subtree<Item>): number => node?.count ?? 0;
const workOf = <Item>(node: Subtree<Item>): number => node?.workMs ?? 0;

export const createOrderedTree = <Item extends Key, Key = Item>({
	compare,
	readWorkMs,
}: OrderedTreeParts<Item, Key>): OrderedTree<Item, Key> => {
	let root: Subtree<Item>;

	const join = (left: Subtree<Item>, item: Item, right: Subtree<Item>): Node<Item> => ({
		item,
		left,
		right,
		count: countOf(left) + countOf(right) + 1,
		workMs: workOf(left) + workOf(right) + readWorkMs(item),
	});

	const rotateLeft = (left: Subtree<Item>, item: Item, right: Node<Item>): Node<Item> => {
		const inner = right.left;
		return inner && inner.count >= ROTATION_FACTOR * countOf(right.right)
			? join(join(left, item, inner.left), inner.item, join(inner.right, right.item, right.right))
			: join(join(left, item, inner), right.item, right.right);
	};

	const rotateRight = (left: Node<Item>, item: Item, right: Subtree<Item>): Node<Item> => {
		const inner = left.right;
		return inner && inner.count >= ROTATION_FACTOR * countOf(left.left)
			? join(join(left.left, left.item, inner.left), inner.item, join(inner.right, item, right))
			: join(left.left, left.item, join(inner, item, right));
	};

	const balance = (left: Subtree<Item>, item: Item, right: Subtree<Item>): Node<Item> => {
		if (countOf(left) + countOf(right) <= 1) {
			return join(left, item, right);
		}

		if (right && right.count > BALANCE_FACTOR * countOf(left)) {
			return rotateLeft(left, item, right);
		}

		return left && left.count > BALANCE_FACTOR * countOf(right)
			? rotateRight(left, item, right)
			: join(left, item, right);
	};

	const addTo = (node: Subtree<Item>, item: Item): Node<Item> => {
		if (!node) {
			return join(undefined, item, undefined);
		}

		return compare(item, node.item) < 0
			? balance(addTo(node.left, item), node.item, node.right)
			: balance(node.left, node.item, addTo(node.right, item));
	};

	const findFirst = (node: Node<Item>): Item => (node.left ? findFirst(node.left) : node.item);

	const removeFrom = (node: Subtree<Item>, item: Item): Subtree<Item> => {
		if (!node) {
			return undefined;
		}

		const order = compare(item, node.item);
		if (order < 0) {
			return balance(removeFrom(node.left, item), node.item, node.right);
		}

		if (order > 0) {
			return balance(node.left, node.item, removeFrom(node.right, item));
		}

		if (!node.left || !node.right) {
			return node.left ?? node.right;
		}

		const successor = findFirst(node.right);
		return balance(node.left, successor, removeFrom(node.right, successor));
	};

	const collectFirst = (node: Subtree<Item>, limitCount: number, collected: Item[]): Item[] => {
		if (node && collected.length < limitCount) {
			collectFirst(node.left, limitCount, collected);
			if (collected.length < limitCount) {
				collected.push(node.item);
				collectFirst(node.right, limitCount, collected);
			}
		}

		return collected;
	};

	return {
		add(item) {
			root = addTo(root, item);
		},
		remove(item) {
			root = removeFrom(root, item);
		},
		first: () => root && findFirst(root),
		count: () => countOf(root),
		workMs: () => workOf(root),
		before(key) {
			let count = 0;
			let workMs = 0;
			for (let node = root; node; ) {
				if (compare(node.item, key) < 0) {
					count += countOf(node.left) + 1;
					workMs += workOf(node.left) + readWorkMs(node.item);
					node = node.right;
				} else {
					node = node.left;
				}
			}

			return {count, workMs};
		},
		listFirst: limitCount => collectFirst(root, limitCount, []),
	};
};

type Holding = {count: number; expiresAtMs: number};

/** Unused tokens of one workspace at an entry node, by the node that leased them and how long they live. */
export type LeasedTokens = {
	/** Uses one token. Returns the holder that it is from; undefined if there is none. */
	take(nowMs: number): string | undefined;
	/** Tokens that are valid. */
	balance(nowMs: number): number;
	/** Valid tokens of one holder. */
	countOf(holderId: string, nowMs: number): number;
	/** Adds tokens of a holder. Its other tokens are renewed, if they have not expired. */
	add(holderId: string, count: number, expiresAtMs: number, nowMs: number): void;
	/** Gives up all tokens of a holder, and returns how many these were. */
	removeAll(holderId: string, nowMs: number): number;
	listHolders(nowMs: number): readonly string[];
};

export const createLeasedTokens = (): LeasedTokens => {
	const holdings = new Map<string, Holding>();

	const removeExpired = (nowMs: number): void => {
		[...holdings]
			.filter(([, {count, expiresAtMs}]) => count <= 0 || expiresAtMs <= nowMs)
			.forEach(([holderId]) => {
				holdings.delete(holderId);
			});
	};

	const countOf = (holderId: string, nowMs: number): number => {
		const holding = holdings.get(holderId);
		return holding && holding.expiresAtMs > nowMs ? holding.count : 0;
	};

	return {
		take(nowMs) {
			// Insertion order is that of the renewals, so the tokens that expire first are used first.
			removeExpired(nowMs);
			const oldest = holdings.entries().next().value;
			if (!oldest) {
				return undefined;
			}

			const [holderId, holding] = oldest;
			holding.count--;
			return holderId;
		},
		balance(nowMs) {
			removeExpired(nowMs);
			return [...holdings.values()].reduce((sum, {count}) => sum + count, 0);
		},
		countOf,
		add(holderId, count, expiresAtMs, nowMs) {
			const totalCount = countOf(holderId, nowMs) + count;
			holdings.delete(holderId);
			if (totalCount > 0) {
				holdings.set(holderId, {count: totalCount, expiresAtMs});
			}
		},
		removeAll(holderId, nowMs) {
			const count = countOf(holderId, nowMs);
			holdings.delete(holderId);
			return count;
		},
		listHolders(nowMs) {
			removeExpired(nowMs);
			return [...holdings.keys()];
		},
	};
};

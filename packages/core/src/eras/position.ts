/** Position of a record in a topic. Offsets are assigned again in each era of the store, so they compare within one only. */
export type Position = {
	readonly era: number;
	readonly offset: number;
};

/** Negative if `left` comes before `right`, positive if it comes after it, and 0 if both are the same position. */
export const comparePositions = (left: Position, right: Position): number =>
	left.era - right.era || left.offset - right.offset;

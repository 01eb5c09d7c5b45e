/** Bounds the heads that are parsed in one turn of the event loop, over all connections. */
export type ParseTurns = {
	/** Whether more may be parsed in this turn. */
	hasRoom(): boolean;
	/** Counts bytes that are parsed in this turn. */
	count(sizeBytes: number): void;
	/** Calls the function in a later turn, in the order of the calls. */
	wait(proceed: () => void): void;
};

/**
 * Head bytes that are parsed in one turn, over all connections. What is parsed is released after the turn at the earliest, and may
 * take forty times its bytes.
 */
const TURN_BYTES = 65_536;

/** Connections that proceed in one turn. */
const PROCEEDING_COUNT = 16;

export const createParseTurns = (): ParseTurns => {
	const waiting: Array<() => void> = [];
	let leftBytes = TURN_BYTES;
	let isTurnEndScheduled = false;

	const scheduleTurnEnd = (): void => {
		if (!isTurnEndScheduled) {
			isTurnEndScheduled = true;
			setImmediate(endTurn);
		}
	};

	const endTurn = (): void => {
		isTurnEndScheduled = false;
		leftBytes = TURN_BYTES;
		waiting.splice(0, PROCEEDING_COUNT).forEach(proceed => {
			proceed();
		});
		if (waiting.length > 0) {
			scheduleTurnEnd();
		}
	};

	return {
		hasRoom: () => leftBytes > 0,
		count(sizeBytes) {
			leftBytes -= sizeBytes;
			scheduleTurnEnd();
		},
		wait(proceed) {
			waiting.push(proceed);
			scheduleTurnEnd();
		},
	};
};

/** Order in which connections proceed. */
export enum TurnKind {
	/** A head has begun. It is finished before others begin, since its lines take memory until then. */
	Begun = 'begun',
	/** All requests of the connection are answered. */
	First = 'first',
	/** The connection has a request at work. */
	Ahead = 'ahead',
}

/** Bounds what is parsed and handled in one turn of the event loop, over all connections. */
export type ParseTurns = {
	/** Whether more may be parsed in this turn. */
	hasRoom(): boolean;
	/** Counts bytes of heads that are parsed in this turn. */
	countBytes(sizeBytes: number): void;
	/** Counts a request that is handled in this turn. */
	countRequest(): void;
	/** Calls the function in a later turn, by its kind and in the order of the calls. */
	wait(kind: TurnKind, proceed: () => void): void;
};

/**
 * Head bytes that are parsed in one turn, over all connections. What is parsed is released after the turn at the earliest, and may
 * take forty times its bytes.
 */
const TURN_BYTES = 65_536;

/** Requests that are handled in one turn, so that new connections are read soon however many requests others have sent. */
const TURN_REQUEST_COUNT = 32;

const TURN_ORDER: readonly TurnKind[] = [TurnKind.Begun, TurnKind.First, TurnKind.Ahead];

/** Connections that proceed in one turn. */
const PROCEEDING_COUNT = 16;

export const createParseTurns = (): ParseTurns => {
	const waiting: Readonly<Record<TurnKind, Array<() => void>>> = {
		[TurnKind.Begun]: [],
		[TurnKind.First]: [],
		[TurnKind.Ahead]: [],
	};
	let leftBytes = TURN_BYTES;
	let leftRequestCount = TURN_REQUEST_COUNT;
	let isTurnEndScheduled = false;

	const scheduleTurnEnd = (): void => {
		if (!isTurnEndScheduled) {
			isTurnEndScheduled = true;
			setImmediate(endTurn);
		}
	};

	const takeProceeding = (): ReadonlyArray<() => void> =>
		TURN_ORDER.reduce<Array<() => void>>(
			(taken, kind) => [...taken, ...waiting[kind].splice(0, PROCEEDING_COUNT - taken.length)],
			[],
		);

	const endTurn = (): void => {
		isTurnEndScheduled = false;
		leftBytes = TURN_BYTES;
		leftRequestCount = TURN_REQUEST_COUNT;
		takeProceeding().forEach(proceed => {
			proceed();
		});
		if (Object.values(waiting).some(({length}) => length > 0)) {
			scheduleTurnEnd();
		}
	};

	return {
		hasRoom: () => leftBytes > 0 && leftRequestCount > 0,
		countBytes(sizeBytes) {
			leftBytes -= sizeBytes;
			scheduleTurnEnd();
		},
		countRequest() {
			leftRequestCount--;
			scheduleTurnEnd();
		},
		wait(kind, proceed) {
			waiting[kind].push(proceed);
			scheduleTurnEnd();
		},
	};
};

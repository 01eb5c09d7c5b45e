/** What memory is held for. */
export enum HeldKind {
	/** Heads of requests that are at work, with what their handling takes. */
	Request = 'request',
	/** Bytes that have arrived before they can be handled. */
	ReadAhead = 'read-ahead',
	/** Bodies of requests. */
	Upload = 'upload',
	/** Answers that their callers have not read. */
	Answer = 'answer',
}

/** Largest share of the budget that each kind may take, so that none displaces the others. */
const KIND_RATIOS: Record<HeldKind, number> = {
	[HeldKind.Request]: 0.5,
	[HeldKind.ReadAhead]: 0.2,
	[HeldKind.Upload]: 0.9,
	[HeldKind.Answer]: 0.6,
};

/** Reservations up to this size may use all of their kind's share, in bytes. Ordinary requests are smaller. */
const SMALL_BYTES = 32_768;

/** Part of each share that larger reservations may use, so that small requests find room while large ones wait. */
const LARGE_RATIO = 0.8;

/** Memory that is held until it is released. */
export type Hold = {
	/** Releases the memory. Later calls have no effect. */
	release(): void;
};

/** The budget of a process for the memory that its callers make it hold. */
export type HeldBytes = {
	/** Reserves memory, or returns undefined if there is no room. */
	reserve(kind: HeldKind, sizeBytes: number): Hold | undefined;
	/** Whether the share of a kind has no room for a reservation, whatever the other kinds hold. */
	isShareFull(kind: HeldKind, sizeBytes: number): boolean;
	/** Part of the budget that is held. */
	usedRatio(): number;
	/** Part of a kind's share that is held. */
	shareRatio(kind: HeldKind): number;
};

export type HeldBytesOptions = {
	readonly limitBytes: number;
	/** Requests at work take memory of the heap, which has a limit of its own. */
	readonly requestLimitBytes?: number;
};

export const createHeldBytes = ({limitBytes, requestLimitBytes = limitBytes}: HeldBytesOptions): HeldBytes => {
	const kindLimitBytes: Record<HeldKind, number> = {
		[HeldKind.Request]: Math.min(requestLimitBytes, limitBytes * KIND_RATIOS[HeldKind.Request]),
		[HeldKind.ReadAhead]: limitBytes * KIND_RATIOS[HeldKind.ReadAhead],
		[HeldKind.Upload]: limitBytes * KIND_RATIOS[HeldKind.Upload],
		[HeldKind.Answer]: limitBytes * KIND_RATIOS[HeldKind.Answer],
	};
	const usedBytes: Record<HeldKind, number> = {
		[HeldKind.Request]: 0,
		[HeldKind.ReadAhead]: 0,
		[HeldKind.Upload]: 0,
		[HeldKind.Answer]: 0,
	};
	const usableRatioOf = (sizeBytes: number): number => (sizeBytes <= SMALL_BYTES ? 1 : LARGE_RATIO);
	const isShareFull = (kind: HeldKind, sizeBytes: number): boolean =>
		usedBytes[kind] + sizeBytes > kindLimitBytes[kind] * usableRatioOf(sizeBytes);
	const sumBytes = (): number => Object.values(usedBytes).reduce((sum, bytes) => sum + bytes, 0);

	return {
		reserve(kind, sizeBytes) {
			const isBudgetFull = sumBytes() + sizeBytes > limitBytes * usableRatioOf(sizeBytes);
			if (isBudgetFull || isShareFull(kind, sizeBytes)) {
				return undefined;
			}

			usedBytes[kind] += sizeBytes;
			let isHeld = true;
			return {
				release() {
					usedBytes[kind] -= isHeld ? sizeBytes : 0;
					isHeld = false;
				},
			};
		},
		isShareFull,
		usedRatio: () => sumBytes() / limitBytes,
		shareRatio: kind => usedBytes[kind] / kindLimitBytes[kind],
	};
};

import type * as domain from '@bilberrydoor/domain';
import {joinChunks} from './buffer-body.js';
import {closeBody} from './close-body.js';

enum BodyState {
	Arriving = 'arriving',
	Complete = 'complete',
	Broken = 'broken',
	Closed = 'closed',
}

const OPENABLE_STATES: ReadonlySet<BodyState> = new Set([BodyState.Arriving, BodyState.Complete]);

/** Number of a reader of a body that could not be opened. */
const UNOPENED = -1;

/** Thrown by a reader of a body that a later reader has replaced, or whose call has ended. */
export class ReaderReplacedError extends Error {
	override readonly name = 'ReaderReplacedError';

	constructor() {
		super('the body is read by another attempt, or its call has ended');
	}
}

/** Thrown while reading a body that ends before its announced length or exceeds it. */
export class BodyLengthError extends Error {
	override readonly name = 'BodyLengthError';

	constructor(announcedBytes: number, receivedBytes: number) {
		super(`the body has ${receivedBytes} bytes or more, but ${announcedBytes} were announced`);
	}
}

export type HeldBodyOptions = {
	/** The body can be opened again until a reader has read more bytes than this. */
	readonly limitBytes: number;
	/** Length that the caller announced, in bytes. */
	readonly announcedBytes?: number;
};

export type HeldBody = domain.CallBody & {
	/** Reads from the caller until the body is complete or broken, or longer than the limit. */
	readToLimit(): Promise<void>;
	/** The body, if it is complete and can be opened. */
	wholeBytes(): Uint8Array | undefined;
	/** Why the body cannot become complete. */
	failure(): {readonly error: unknown} | undefined;
	/** Stops reading from the caller. Open readers throw from then on. */
	close(): void;
};

/**
 * Holds a body from its first byte while it is sent, up to `limitBytes` and one chunk. Beyond the limit, the body is read
 * from the caller at the pace of its reader, and cannot be opened again. A reader that was replaced or closed has no effect
 * on what a later one reads.
 */
export const createHeldBody = (source: domain.BodyStream, options: HeldBodyOptions): HeldBody => {
	const {limitBytes, announcedBytes} = options;
	const iterator = source[Symbol.asyncIterator]();
	const chunks: Uint8Array[] = [];
	let droppedCount = 0;
	let receivedBytes = 0;
	let state = BodyState.Arriving;
	let failure: {readonly error: unknown} | undefined;
	let pending: Promise<void> | undefined;
	/** Number of the last opened reader, the only one that may read. */
	let readerNumber = 0;

	const isIn = (expected: BodyState): boolean => state === expected;

	const accept = (result: IteratorResult<Uint8Array, unknown>): void => {
		receivedBytes += result.done ? 0 : result.value.byteLength;
		if (
			announcedBytes !== undefined &&
			(result.done ? receivedBytes !== announcedBytes : receivedBytes > announcedBytes)
		) {
			throw new BodyLengthError(announcedBytes, receivedBytes);
		}

		if (result.done) {
			state = BodyState.Complete;
		} else {
			chunks.push(result.value);
		}
	};

	const receive = async (): Promise<void> => {
		try {
			const result = await iterator.next();
			if (isIn(BodyState.Arriving)) {
				accept(result);
			}
		} catch (error) {
			failure = {error};
			state = isIn(BodyState.Closed) ? state : BodyState.Broken;
		}

		pending = undefined;
	};

	/** Readers that wait at the same time share one read of the source. */
	const receiveNext = async (): Promise<void> => {
		pending ??= receive();
		return pending;
	};

	const canOpen = (): boolean => droppedCount === 0 && OPENABLE_STATES.has(state);

	const createReader = (ownNumber: number): AsyncIterator<Uint8Array> => {
		let isReaderClosed = false;
		let nextIndex = 0;
		let readBytes = 0;

		const assertCurrent = (): void => {
			if (isReaderClosed || isIn(BodyState.Closed) || ownNumber !== readerNumber) {
				throw new ReaderReplacedError();
			}
		};

		const dropUntil = (index: number): void => {
			chunks.splice(0, index - droppedCount);
			droppedCount = index;
		};

		return {
			async next() {
				assertCurrent();
				while (nextIndex >= droppedCount + chunks.length && isIn(BodyState.Arriving)) {
					await receiveNext();
					assertCurrent();
				}

				if (failure) {
					throw failure.error;
				}

				const chunk = chunks[nextIndex - droppedCount];
				if (!chunk) {
					return {done: true, value: undefined};
				}

				nextIndex++;
				readBytes += chunk.byteLength;
				if (readBytes > limitBytes) {
					dropUntil(nextIndex);
				}

				return {done: false, value: chunk};
			},
			async return() {
				isReaderClosed = true;
				return {done: true, value: undefined};
			},
		};
	};

	return {
		canOpen,
		open() {
			const isOpened = canOpen();
			readerNumber += isOpened ? 1 : 0;
			const reader = createReader(isOpened ? readerNumber : UNOPENED);
			return {[Symbol.asyncIterator]: () => reader};
		},
		isBroken: () => isIn(BodyState.Broken),
		failure: () => failure,
		async readToLimit() {
			const isWithinLimit = (): boolean => receivedBytes <= limitBytes;
			while (isWithinLimit() && isIn(BodyState.Arriving)) {
				await receiveNext();
			}
		},
		wholeBytes: () => (isIn(BodyState.Complete) && canOpen() ? joinChunks(chunks, receivedBytes) : undefined),
		close() {
			state = BodyState.Closed;
			chunks.length = 0;
			void closeBody(iterator);
		},
	};
};

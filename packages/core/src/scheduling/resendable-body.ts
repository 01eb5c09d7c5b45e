import type * as domain from '@bilberrydoor/domain';
import {closeBody} from '../shared/close-body.js';

/** A request body that can be sent more than once while it is small. */
export type ResendableBody = {
	/** The body from its start. Only one of the opened bodies is read at a time. */
	open(): domain.BodyStream;
	/** Whether another attempt can send the whole body. */
	canResend(): boolean;
	/** Stops reading from the caller. */
	dispose(): void;
};

/** Reads the source on demand for one opened body after another, and buffers its chunks up to `limitBytes`. */
const createSharedReader = (source: domain.BodyStream, limitBytes: number) => {
	const iterator = source[Symbol.asyncIterator]();
	let chunks: Uint8Array[] = [];
	let seenBytes = 0;
	let isFullyBuffered = true;
	let hasReadStarted = false;
	let pending: Promise<IteratorResult<Uint8Array>> | undefined;

	const readNext = async (): Promise<IteratorResult<Uint8Array>> => {
		hasReadStarted = true;
		const result = await iterator.next();
		pending = undefined;
		if (!result.done) {
			seenBytes += result.value.byteLength;
			isFullyBuffered &&= seenBytes <= limitBytes;
			chunks = isFullyBuffered ? [...chunks, result.value] : [];
		}

		return result;
	};

	return {
		canResend: () => isFullyBuffered || !hasReadStarted,
		getBufferedChunk: (index: number) => chunks[index],
		async next(): Promise<IteratorResult<Uint8Array>> {
			pending ??= readNext();
			return pending;
		},
		async close(): Promise<void> {
			await closeBody(iterator);
		},
	};
};

/**
 * Keeps up to `limitBytes` of a body while it is sent. The body is read only when a target requests it, so a refused
 * call leaves it unread.
 */
export const createResendableBody = (source: domain.BodyStream, limitBytes: number): ResendableBody => {
	const reader = createSharedReader(source, limitBytes);
	return {
		open: () => ({
			[Symbol.asyncIterator]() {
				let index = 0;
				let isClosed = false;
				return {
					async next() {
						const chunk = reader.getBufferedChunk(index++);
						return chunk && !isClosed ? {done: false, value: chunk} : reader.next();
					},
					async return() {
						// Another attempt may continue reading, so the source stays open until the call ends.
						isClosed = true;
						return {done: true, value: undefined};
					},
				};
			},
		}),
		canResend: reader.canResend,
		dispose() {
			void reader.close();
		},
	};
};

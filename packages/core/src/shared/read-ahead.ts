import type * as domain from '@bilberrydoor/domain';
import {closeBody} from './close-body.js';

/**
 * Reads a body ahead of its reader, by at most `limitBytes` and one chunk. A small body is therefore read to its
 * end even when the reader is slow, and the source of a large body is under back-pressure.
 */
export const readAhead = (source: domain.BodyStream, limitBytes: number): domain.BodyStream => {
	const iterator = source[Symbol.asyncIterator]();
	const state = {
		chunks: new Array<Uint8Array>(),
		bufferedBytes: 0,
		isEnded: false,
		isStopped: false,
		wakeReader: (): void => undefined,
		wakePump: (): void => undefined,
	};
	let failure: {readonly error: unknown} | undefined;

	const waitForReader = async (): Promise<void> =>
		new Promise(resolve => {
			state.wakePump = resolve;
		});

	const waitForChunk = async (): Promise<void> =>
		new Promise(resolve => {
			state.wakeReader = resolve;
		});

	const pump = async (): Promise<void> => {
		try {
			while (!state.isEnded && !state.isStopped) {
				const result = await iterator.next();
				state.isEnded = result.done === true;
				if (!result.done) {
					state.chunks.push(result.value);
					state.bufferedBytes += result.value.byteLength;
				}

				state.wakeReader();
				if (state.bufferedBytes >= limitBytes && !state.isStopped) {
					await waitForReader();
				}
			}
		} catch (error) {
			failure = {error};
		}

		state.isEnded = true;
		state.wakeReader();
	};

	const takeChunk = (): Uint8Array | undefined => {
		const chunk = state.chunks.shift();
		state.bufferedBytes -= chunk?.byteLength ?? 0;
		if (state.bufferedBytes < limitBytes) {
			state.wakePump();
		}

		return chunk;
	};

	void pump();
	return {
		[Symbol.asyncIterator]: () => ({
			async next() {
				while (state.chunks.length === 0 && !state.isEnded) {
					await waitForChunk();
				}

				const chunk = takeChunk();
				if (chunk) {
					return {done: false, value: chunk};
				}

				if (failure) {
					throw failure.error;
				}

				return {done: true, value: undefined};
			},
			async return() {
				state.isStopped = true;
				state.wakePump();
				// The source may be waiting for its next chunk, so closing it is not awaited.
				void closeBody(iterator);
				return {done: true, value: undefined};
			},
		}),
	};
};

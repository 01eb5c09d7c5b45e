import type * as domain from '@bilberrydoor/domain';

export enum BodyEnd {
	/** The source was read to its end. */
	Complete = 'complete',
	/** The source threw: the transfer broke off. */
	Broken = 'broken',
	/** The reader stopped early. */
	Abandoned = 'abandoned',
}

export type BodyObserver = {
	/** Called for each chunk before the reader gets it. An exception ends the transfer. */
	onChunk?(chunk: Uint8Array): void;
	/** Called once. */
	onEnd?(end: BodyEnd): void;
};

/**
 * Wraps a body so that an observer is called for its chunks and its end. An async generator would not report the end of
 * a body that was never read, because `return()` runs no `finally` block before the first `next()`.
 */
export const observeBody = (body: domain.BodyStream, observer: BodyObserver): domain.BodyStream => {
	let isEnded = false;
	const end = (kind: BodyEnd): void => {
		if (!isEnded) {
			isEnded = true;
			observer.onEnd?.(kind);
		}
	};

	return {
		[Symbol.asyncIterator]() {
			const iterator = body[Symbol.asyncIterator]();
			return {
				async next() {
					try {
						const result = await iterator.next();
						if (result.done) {
							end(BodyEnd.Complete);
						} else {
							observer.onChunk?.(result.value);
						}

						return result;
					} catch (error) {
						end(BodyEnd.Broken);
						await iterator.return?.();
						throw error;
					}
				},
				async return() {
					end(BodyEnd.Abandoned);
					await iterator.return?.();
					return {done: true, value: undefined};
				},
			};
		},
	};
};

import type * as domain from '@bilberrydoor/domain';
import type {FrameFlow, FramePacer} from './frame-pacer.js';

/**
 * Wraps a body so that it is read in small frames at the pacer's rate. Its flow is closed when the body ends or fails,
 * when the reader stops, and when `signal` is aborted, which covers a reader that never calls `return()`.
 */
export const paceBody = (
	body: domain.BodyStream,
	options: {
		readonly pacer: FramePacer;
		readonly weight: number;
		readonly frameBytes: number;
		readonly signal: AbortSignal;
	},
): domain.BodyStream => ({
	[Symbol.asyncIterator]() {
		const iterator = body[Symbol.asyncIterator]();
		let flow: FrameFlow | undefined;
		let isEnded = false;
		let remainder: Uint8Array = new Uint8Array(0);

		const close = (): void => {
			flow?.close();
			options.signal.removeEventListener('abort', close);
		};

		const openFlow = (): FrameFlow => {
			options.signal.addEventListener('abort', close, {once: true});
			return options.pacer.openFlow(options.weight);
		};

		const readFrame = async (): Promise<IteratorResult<Uint8Array, undefined>> => {
			if (remainder.byteLength === 0) {
				const read = await iterator.next();
				if (read.done) {
					isEnded = true;
					close();
					return {done: true, value: undefined};
				}

				remainder = read.value;
			}

			const frame = remainder.subarray(0, options.frameBytes);
			remainder = remainder.subarray(frame.byteLength);
			if (!options.signal.aborted) {
				flow ??= openFlow();
			}

			const isGranted = flow !== undefined && (await flow.request(frame.byteLength));
			if (!isGranted) {
				// Throws, so that the reader of an aborted body does not mistake the received part for the complete body.
				throw new Error('the transfer was abandoned');
			}

			return {done: false, value: frame};
		};

		return {
			async next() {
				if (isEnded) {
					return {done: true, value: undefined};
				}

				try {
					return await readFrame();
				} catch (error) {
					close();
					await iterator.return?.();
					throw error;
				}
			},
			async return() {
				isEnded = true;
				close();
				await iterator.return?.();
				return {done: true, value: undefined};
			},
		};
	},
});

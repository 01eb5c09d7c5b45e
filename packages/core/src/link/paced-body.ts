import type * as domain from '@bilberrydoor/domain';
import type {FrameFlow, FramePacer} from './frame-pacer.js';

/**
 * Wraps a body so that it is read in small frames at the pacer's rate. What it holds is released when the body ends or
 * breaks, when the reader stops, and when `signal` is aborted, which covers a reader that never returns.
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
		let rest: Uint8Array = new Uint8Array(0);

		const close = (): void => {
			flow?.close();
			options.signal.removeEventListener('abort', close);
		};

		const openFlow = (): FrameFlow => {
			options.signal.addEventListener('abort', close, {once: true});
			return options.pacer.openFlow(options.weight);
		};

		const readFrame = async (): Promise<IteratorResult<Uint8Array, undefined>> => {
			if (rest.byteLength === 0) {
				const read = await iterator.next();
				if (read.done) {
					isEnded = true;
					close();
					return {done: true, value: undefined};
				}

				rest = read.value;
			}

			const frame = rest.subarray(0, options.frameBytes);
			rest = rest.subarray(frame.byteLength);
			if (!options.signal.aborted) {
				flow ??= openFlow();
			}

			const isGranted = flow !== undefined && (await flow.request(frame.byteLength));
			if (!isGranted) {
				// The reader of an abandoned body must not take the part for the whole.
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

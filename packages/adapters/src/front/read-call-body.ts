import type * as http from 'node:http';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

export enum BodyReadError {
	TooLarge = 'too-large',
	Aborted = 'broken-off',
	/** The body has not arrived before its call's deadline. */
	TooLate = 'too-late',
}

export type BodyLimits = {
	/** Bytes that are read before a target is chosen, and held for further attempts. */
	readonly heldBytes: number;
	/** Largest allowed body in bytes. */
	readonly totalBytes: number;
};

export type ReadBody = Pick<domain.ProxiedCall, 'body' | 'bodyLengthBytes'> & {
	/** Discards the rest of the body once the call has ended. */
	close(): void;
};

const NOTHING_TO_CLOSE = {close: (): void => undefined};

/** Reads a request's body on demand. Closing it keeps the connection open, so that the call can still be answered. */
const readIncoming = (incoming: http.IncomingMessage): domain.BodyStream => ({
	[Symbol.asyncIterator]() {
		const iterator: AsyncIterator<Uint8Array> = incoming.iterator({destroyOnReturn: false});
		return {
			async next() {
				const result = await iterator.next();
				if (result.done && !incoming.complete) {
					throw new Error("the caller's connection ended before the body was complete");
				}

				return result;
			},
			async return() {
				await iterator.return?.();
				incoming.resume();
				return {done: true, value: undefined};
			},
		};
	},
});

/** Reads a call's body whole, or, if it is larger than `heldBytes`, until that many bytes have arrived. */
export const readCallBody = async (
	incoming: http.IncomingMessage,
	limits: BodyLimits,
): Promise<neverthrow.Result<ReadBody, BodyReadError>> => {
	const announcedBytes =
		incoming.headers['content-length'] === undefined ? undefined : Number(incoming.headers['content-length']);
	const hasBody = incoming.headers['transfer-encoding'] !== undefined || (announcedBytes ?? 0) > 0;
	if (!hasBody) {
		const body = announcedBytes === undefined ? undefined : new Uint8Array(0);
		return neverthrow.ok({body, bodyLengthBytes: undefined, ...NOTHING_TO_CLOSE});
	}

	if ((announcedBytes ?? 0) > limits.totalBytes) {
		return neverthrow.err(BodyReadError.TooLarge);
	}

	const source = core.limitBody(readIncoming(incoming), limits.totalBytes);
	const body = core.createHeldBody(source, {limitBytes: limits.heldBytes, announcedBytes});
	await body.readToLimit();
	const failure = body.failure();
	if (failure) {
		return neverthrow.err(
			failure.error instanceof core.BodyLimitError ? BodyReadError.TooLarge : BodyReadError.Aborted,
		);
	}

	const wholeBytes = body.wholeBytes();
	return neverthrow.ok(
		wholeBytes
			? {body: wholeBytes, bodyLengthBytes: undefined, ...NOTHING_TO_CLOSE}
			: {body, bodyLengthBytes: announcedBytes, close: body.close},
	);
};

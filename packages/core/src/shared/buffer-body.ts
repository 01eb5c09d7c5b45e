import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

export enum BufferError {
	/** The body is longer than the limit. */
	TooLarge = 'too-large',
	/** The transfer broke off before the body had ended. */
	Broken = 'broken',
}

const EMPTY = new Uint8Array(0);

/** Joins chunks with `lengthBytes` bytes in total. */
export const joinChunks = (chunks: readonly Uint8Array[], lengthBytes: number): Uint8Array => {
	const joined = new Uint8Array(lengthBytes);
	let position = 0;
	chunks.forEach(chunk => {
		joined.set(chunk, position);
		position += chunk.byteLength;
	});
	return joined;
};

/** Reads a whole body into memory. Stops reading when the body exceeds `limitBytes`. */
export const bufferBody = async (
	body: domain.BodyStream | undefined,
	limitBytes: number,
): Promise<neverthrow.Result<Uint8Array, BufferError>> => {
	if (!body) {
		return neverthrow.ok(EMPTY);
	}

	const chunks: Uint8Array[] = [];
	let lengthBytes = 0;
	try {
		for await (const chunk of body) {
			lengthBytes += chunk.byteLength;
			if (lengthBytes > limitBytes) {
				return neverthrow.err(BufferError.TooLarge);
			}

			chunks.push(chunk);
		}
	} catch {
		return neverthrow.err(BufferError.Broken);
	}

	return neverthrow.ok(joinChunks(chunks, lengthBytes));
};

/** A body that yields buffered bytes. It can be read any number of times. */
export const replayBody = (bytes: Uint8Array): domain.BodyStream => ({
	async *[Symbol.asyncIterator]() {
		if (bytes.byteLength > 0) {
			yield bytes;
		}
	},
});

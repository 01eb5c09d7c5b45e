import {Buffer} from 'node:buffer';

/** Collects a body. Throws when it exceeds the limit, which closes its connection. */
export const collectBody = async (
	body: AsyncIterable<Uint8Array>,
	options: {readonly limitBytes: number; readonly noteProgress?: () => void},
): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of body) {
		chunks.push(chunk);
		sizeBytes += chunk.byteLength;
		if (sizeBytes > options.limitBytes) {
			throw new Error(`the body is larger than ${options.limitBytes} bytes`);
		}

		options.noteProgress?.();
	}

	return Buffer.concat(chunks);
};

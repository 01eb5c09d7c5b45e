import {Buffer} from 'node:buffer';
import type * as domain from '@bilberrydoor/domain';
import * as headers from '../http/headers.js';

/** In the place of bytes that are not valid UTF-8. */
const REPLACEMENT_CHARACTER = '\uFFFD';

const NOT_ASCII_PATTERN = /[^ -~]/;

const restoreBytes = (value: string): string =>
	NOT_ASCII_PATTERN.test(value) ? Buffer.from(value, 'utf8').toString('latin1') : value;

/**
 * Lists the headers of an answer with one character for each byte, as `writeHead` of Node.js expects it. Undici decodes
 * values as UTF-8. Returns undefined if a value is not UTF-8, because its bytes are lost then.
 */
export const restoreHeaderBytes = (
	grouped: Readonly<Record<string, string | string[] | undefined>>,
): domain.HeaderList | undefined => {
	const list = headers.listGroupedHeaders(grouped);
	if (list.some(([, value]) => value.includes(REPLACEMENT_CHARACTER))) {
		return undefined;
	}

	// Undici itself restores the bytes of this header if the answer has a length.
	const restoredName = grouped['content-length'] === undefined ? undefined : 'content-disposition';
	return list.map(([name, value]) => [name, name === restoredName ? value : restoreBytes(value)] as const);
};

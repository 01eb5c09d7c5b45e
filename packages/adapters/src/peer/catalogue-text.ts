import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

/** Largest catalogue that is decoded, in bytes of JSON. Twice the size of one with the planned 110,000 routes. */
const CATALOGUE_LIMIT_BYTES = 64 * 1024 * 1024;

/** Compressed text of each catalogue, so that a version is compressed once and not for each node that pulls it. */
const compressedTexts = new WeakMap<domain.FleetCatalogue, string>();

/** Compresses a catalogue for other nodes. A catalogue of 1,000 routes shrinks to a tenth. */
export const encodeCatalogue = (catalogue: domain.FleetCatalogue): string => {
	const cached = compressedTexts.get(catalogue);
	if (cached !== undefined) {
		return cached;
	}

	const text = zlib.deflateRawSync(JSON.stringify(catalogue)).toString('base64');
	compressedTexts.set(catalogue, text);
	return text;
};

/** Decodes the output of {@link encodeCatalogue}, without validating the result. */
export const decodeCatalogue = (text: string): neverthrow.Result<unknown, string> => {
	try {
		const json = zlib.inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: CATALOGUE_LIMIT_BYTES});
		return neverthrow.ok(JSON.parse(json.toString()) as unknown);
	} catch (error) {
		return neverthrow.err(`not a compressed catalogue: ${String(error)}`);
	}
};

/** Caches the text that a catalogue was decoded from, so that it is forwarded without compressing it again. */
export const cacheCatalogueText = (catalogue: domain.FleetCatalogue, text: string): void => {
	compressedTexts.set(catalogue, text);
};

import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

/** Largest catalogue that is decoded, in bytes of JSON; twice that of the planned size of 110,000 routes. */
const CATALOGUE_LIMIT_BYTES = 64 * 1024 * 1024;

/** Texts of catalogues, so that a version is compressed once and not for each follower. */
const texts = new WeakMap<domain.FleetCatalogue, string>();

/** Compresses a catalogue for other nodes. One of a thousand routes shrinks to a tenth. */
export const encodeCatalogue = (catalogue: domain.FleetCatalogue): string => {
	const known = texts.get(catalogue);
	if (known !== undefined) {
		return known;
	}

	const text = zlib.deflateRawSync(JSON.stringify(catalogue)).toString('base64');
	texts.set(catalogue, text);
	return text;
};

/** Reads what {@link encodeCatalogue} wrote. The result is of unknown form. */
export const decodeCatalogue = (text: string): neverthrow.Result<unknown, string> => {
	try {
		const json = zlib.inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: CATALOGUE_LIMIT_BYTES});
		return neverthrow.ok(JSON.parse(json.toString()) as unknown);
	} catch (error) {
		return neverthrow.err(`not a compressed catalogue: ${String(error)}`);
	}
};

/** Notes the text that a catalogue was read from, for handing it on. */
export const keepCatalogueText = (catalogue: domain.FleetCatalogue, text: string): void => {
	texts.set(catalogue, text);
};

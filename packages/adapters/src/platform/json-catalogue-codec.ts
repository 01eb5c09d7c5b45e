import type * as core from '@bilberrydoor/core';

const sortKeys = (value: unknown): unknown => {
	if (Array.isArray(value)) {
		return value.map(sortKeys);
	}

	if (value !== null && typeof value === 'object') {
		return Object.fromEntries(
			Object.entries(value)
				.filter(([, member]) => member !== undefined)
				.toSorted(([left], [right]) => (left < right ? -1 : 1))
				.map(([key, member]) => [key, sortKeys(member)]),
		);
	}

	return value;
};

/** Serializes to JSON with sorted keys, so that equal values have equal text on every node. */
export const serializeCanonically = (value: unknown): string => JSON.stringify(sortKeys(value));

export const createJsonCatalogueCodec = (): core.CatalogueCodec => ({
	serializeItem: item => serializeCanonically(item),
});

import type * as domain from '@bilberrydoor/domain';

/** Canonical text of catalogue data, for digests and diffs. */
export type CatalogueCodec = {
	/** Returns a text that is identical on every node for the same item. */
	serializeItem(item: domain.CatalogueItem): string;
};

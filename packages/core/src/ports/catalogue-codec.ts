import type * as domain from '@bilberrydoor/domain';

/** Canonical text of catalogue data, for digests and diffs. */
export type CatalogueCodec = {
	/** The same item gives the same text on every node. */
	serializeItem(item: domain.CatalogueItem): string;
};

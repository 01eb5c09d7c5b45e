import type * as domain from '@bilberrydoor/domain';

/** Replaced items of this node, bounded by count. They are lost with the process. */
export type RevisionContents = {
	keep(item: domain.CatalogueItem): void;
	find(service: string, revision: number): domain.CatalogueItem | undefined;
};

/** @param limitCount items kept over all services; the oldest go first */
export const createRevisionContents = (limitCount: number): RevisionContents => {
	const items = new Map<string, domain.CatalogueItem>();
	const buildKey = (service: string, revision: number): string => `${service}@${revision}`;
	return {
		keep(item) {
			items.set(buildKey(item.service, item.revision), item);
			if (items.size > limitCount) {
				items.delete(items.keys().next().value!);
			}
		},
		find: (service, revision) => items.get(buildKey(service, revision)),
	};
};

import type * as domain from '@bilberrydoor/domain';

/** Replaced items, kept in memory only and limited by count. */
export type RevisionContents = {
	add(item: domain.CatalogueItem): void;
	find(service: string, revision: number): domain.CatalogueItem | undefined;
};

/** @param limitCount items kept over all services; the oldest are dropped first */
export const createRevisionContents = (limitCount: number): RevisionContents => {
	const items = new Map<string, domain.CatalogueItem>();
	const buildKey = (service: string, revision: number): string => `${service}@${revision}`;
	return {
		add(item) {
			items.set(buildKey(item.service, item.revision), item);
			if (items.size > limitCount) {
				items.delete(items.keys().next().value!);
			}
		},
		find: (service, revision) => items.get(buildKey(service, revision)),
	};
};

import type * as ports from '../ports/index.js';

/** Grant of a target whose result has not been reported. */
export type OpenGrant = Pick<ports.AcquireGrantRequest, 'routeId' | 'repeatability'> & {
	readonly isForFloor: boolean;
	readonly grantedAtMs: number;
	readonly expiresAtMs: number;
};

/** Open grants of one target. A grant without a report expires. */
export type OpenGrants = {
	/** Number of grants that have not expired. */
	count(): number;
	open(grantId: string, grant: OpenGrant): void;
	/** Removes a grant. Returns it if it was open. */
	close(grantId: string): OpenGrant | undefined;
	list(): readonly OpenGrant[];
	/** No open grant expires before this time on the monotonic clock, in ms. */
	firstExpiryMs(): number;
};

export const createOpenGrants = (clock: Pick<ports.Clock, 'monotonicMs'>): OpenGrants => {
	const grants = new Map<string, OpenGrant>();
	let firstExpiryMs = Number.POSITIVE_INFINITY;

	const removeExpired = (): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs < firstExpiryMs) {
			return;
		}

		[...grants]
			.filter(([, grant]) => grant.expiresAtMs <= nowMs)
			.forEach(([grantId]) => {
				grants.delete(grantId);
			});
		firstExpiryMs = Math.min(...[...grants.values()].map(({expiresAtMs}) => expiresAtMs));
	};

	return {
		count() {
			removeExpired();
			return grants.size;
		},
		open(grantId, grant) {
			grants.set(grantId, grant);
			firstExpiryMs = Math.min(firstExpiryMs, grant.expiresAtMs);
		},
		close(grantId) {
			const grant = grants.get(grantId);
			grants.delete(grantId);
			return grant;
		},
		list: () => [...grants.values()],
		firstExpiryMs: () => firstExpiryMs,
	};
};

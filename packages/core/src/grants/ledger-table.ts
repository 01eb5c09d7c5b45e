import * as domain from '@bilberrydoor/domain';
import type {TargetLedger} from './target-ledger.js';
import type {TargetNotices} from './target-notices.js';

export type LedgerTableParts = {
	/** Currently registered targets of the group. */
	readonly listTargets: () => readonly domain.RegisteredTarget[];
	readonly notices: TargetNotices;
	readonly createLedger: (target: domain.RegisteredTarget) => TargetLedger;
};

/** Ledgers of a group's targets. A new incarnation of a target gets a new ledger. */
export type LedgerTable = {
	/** The ledger of a target that was registered at the last call of `listReady`. */
	get(targetId: string): TargetLedger | undefined;
	/** Ledgers of the targets that are registered as ready and have not said that they are leaving. */
	listReady(): readonly TargetLedger[];
};

export const createLedgerTable = (parts: LedgerTableParts): LedgerTable => {
	const ledgers = new Map<string, TargetLedger>();
	/** Result of the last call of `listReady`. The registry returns the same list until a record changes or 250 ms passed. */
	let lastReady: {
		readonly targets: readonly domain.RegisteredTarget[];
		readonly noticeRevision: number;
		readonly ready: readonly TargetLedger[];
	} = {targets: [], noticeRevision: 0, ready: []};

	const removeUnregistered = (targets: readonly domain.RegisteredTarget[]): void => {
		const registeredIds = new Set(targets.map(({targetId}) => targetId));
		[...ledgers.keys()]
			.filter(targetId => !registeredIds.has(targetId))
			.forEach(targetId => {
				ledgers.delete(targetId);
			});
	};

	const updateOrCreateLedger = (target: domain.RegisteredTarget): TargetLedger => {
		const existing = ledgers.get(target.targetId);
		if (existing?.target().startedAtMs === target.startedAtMs) {
			existing.update(target);
			return existing;
		}

		const ledger = parts.createLedger(target);
		ledgers.set(target.targetId, ledger);
		return ledger;
	};

	return {
		get: targetId => ledgers.get(targetId),
		listReady() {
			const targets = parts.listTargets();
			const noticeRevision = parts.notices.revision();
			if (targets === lastReady.targets && noticeRevision === lastReady.noticeRevision) {
				return lastReady.ready;
			}

			removeUnregistered(targets);
			const ready = targets
				.map(updateOrCreateLedger)
				.filter(ledger => ledger.target().readiness === domain.TargetReadiness.Ready)
				.filter(ledger => !parts.notices.isLeaving(ledger.target()));
			lastReady = {targets, noticeRevision, ready};
			return ready;
		},
	};
};

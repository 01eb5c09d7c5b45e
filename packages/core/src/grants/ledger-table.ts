import * as domain from '@bilberrydoor/domain';
import type {TargetLedger} from './target-ledger.js';

export type LedgerTableParts = {
	/** Targets of the group as they are registered now. */
	readonly listTargets: () => readonly domain.RegisteredTarget[];
	readonly createLedger: (target: domain.RegisteredTarget) => TargetLedger;
};

/** The ledgers of a group's targets, one for each incarnation that is registered. */
export type LedgerTable = {
	/** The ledger of a target that was registered when the ledgers were last listed. */
	get(targetId: string): TargetLedger | undefined;
	/** Ledgers of the targets that are registered and ready now. */
	listReady(): readonly TargetLedger[];
};

export const createLedgerTable = (parts: LedgerTableParts): LedgerTable => {
	const ledgers = new Map<string, TargetLedger>();

	const forgetGone = (targets: readonly domain.RegisteredTarget[]): void => {
		const known = new Set(targets.map(({targetId}) => targetId));
		[...ledgers.keys()]
			.filter(targetId => !known.has(targetId))
			.forEach(targetId => {
				ledgers.delete(targetId);
			});
	};

	const openLedger = (target: domain.RegisteredTarget): TargetLedger => {
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
			forgetGone(targets);
			return targets.map(openLedger).filter(ledger => ledger.target().readiness === domain.TargetReadiness.Ready);
		},
	};
};

import type * as domain from '@bilberrydoor/domain';

type Limits = Pick<domain.FleetWorkspace, 'ratePerSecond' | 'burstCount'>;

/** The bound that the customers state, apart from the settings of the product's shares. */
export type QuotaBound = {readonly windowMs: number; readonly overrunRatio: number; readonly slackCount: number};

const MS_PER_SECOND = 1000;

/** Records the admitted calls of one workspace and compares each window with the bound. */
export const createAdmissionRecord = (bound: QuotaBound, spreadMs: number) => {
	const admittedAtMs: number[] = [];
	const limits: Array<{readonly atMs: number; readonly limits: Limits}> = [];

	const boundOf = ({ratePerSecond, burstCount}: Limits): number =>
		((ratePerSecond * bound.windowMs) / MS_PER_SECOND + burstCount) * (1 + bound.overrunRatio) + bound.slackCount;

	/** A lower limit counts one window after all nodes have it; until then, the former one is allowed too. */
	const boundAt = (windowStartMs: number, windowEndMs: number): number => {
		const applying = limits.filter(({atMs}, index) => {
			const nextAtMs = limits[index + 1]?.atMs ?? Number.POSITIVE_INFINITY;
			return atMs <= windowEndMs && nextAtMs + spreadMs + bound.windowMs > windowStartMs;
		});
		return Math.max(...applying.map(entry => boundOf(entry.limits)));
	};

	return {
		admit(atMs: number) {
			admittedAtMs.push(atMs);
		},
		setLimits(atMs: number, given: Limits) {
			limits.push({atMs, limits: given});
		},
		/** Largest ratio of the admitted calls of a window to its bound. */
		worstRatio(): number {
			let firstIndex = 0;
			return admittedAtMs.reduce((worst, atMs, index) => {
				while (admittedAtMs[firstIndex]! < atMs - bound.windowMs) {
					firstIndex++;
				}

				return Math.max(worst, (index - firstIndex + 1) / boundAt(atMs - bound.windowMs, atMs));
			}, 0);
		},
	};
};

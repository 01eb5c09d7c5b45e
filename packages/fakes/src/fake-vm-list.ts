import type * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';

/** VM list that tests can change. Changes become visible to `list` after `lagMs`. */
export type FakeVmList = core.VmList & {
	lagMs: number;
	isDown: boolean;
	readonly items: () => readonly core.VmListItem[];
	replace(items: readonly core.VmListItem[]): void;
};

export const createFakeVmList = (clock: core.Clock): FakeVmList => {
	let versions: Array<{readonly atMs: number; readonly items: readonly core.VmListItem[]}> = [];
	const vmList: FakeVmList = {
		lagMs: 0,
		isDown: false,
		items: () => versions.at(-1)?.items ?? [],
		replace(items) {
			versions = [...versions, {atMs: clock.monotonicMs(), items}];
		},
		async list() {
			const visible = versions.filter(version => version.atMs <= clock.monotonicMs() - vmList.lagMs);
			const items = (visible.at(-1) ?? versions[0])?.items ?? [];
			return vmList.isDown ? neverthrow.err({detail: 'the VM list is down'}) : neverthrow.ok(items);
		},
	};
	return vmList;
};

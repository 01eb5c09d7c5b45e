import type * as fakes from '@bilberrydoor/fakes';
import type {MeasuredNode} from './measured-fleet.js';

/** A time in which some nodes had no way to any record. */
export type CutOffWindow = {
	readonly beginMs: number;
	readonly endMs: number;
	readonly addresses: ReadonlySet<string>;
};

/** An edit that the log order accepted. */
export type AcceptedEdit = {readonly service: string; readonly revision: number; readonly appendedAtMs: number};

type NodeRun = {
	readonly address: string;
	readonly startedAtMs: number;
	readonly changes: Array<{readonly atMs: number; readonly service: string; readonly revision: number}>;
};

/** Notes when each node puts which revision in force, and whether a ready node ever goes back. */
export type InForceRecorder = {
	watch(node: MeasuredNode): void;
	/** Looks at the ready nodes and counts entries older than the same address has served before. */
	sampleReversions(nodes: readonly MeasuredNode[]): void;
	reversionCount(): number;
	/**
	 * Time from the append until each node that ran at the append had the edit in force, in ms. For a node that was cut
	 * off in that time it runs from the end of the cut.
	 */
	listDelaysMs(edits: readonly AcceptedEdit[], windows: readonly CutOffWindow[]): number[];
};

const findDelayMs = (run: NodeRun, edit: AcceptedEdit, windows: readonly CutOffWindow[]): number | undefined => {
	const change = run.changes.find(({service, revision}) => service === edit.service && revision >= edit.revision);
	if (run.startedAtMs > edit.appendedAtMs || !change) {
		return undefined;
	}

	const beginMs = windows
		.filter(window => window.addresses.has(run.address))
		.filter(window => window.beginMs <= change.atMs && window.endMs >= edit.appendedAtMs)
		.reduce((latest, window) => Math.max(latest, window.endMs), edit.appendedAtMs);
	return Math.max(0, change.atMs - beginMs);
};

export const createInForceRecorder = (clock: fakes.VirtualClock): InForceRecorder => {
	const runs: NodeRun[] = [];
	const served = new Map<string, number>();
	let reversionCount = 0;

	return {
		watch({address, store}) {
			const run: NodeRun = {address, startedAtMs: clock.monotonicMs(), changes: []};
			runs.push(run);
			store.subscribe(service => {
				const revision = store.findItem(service)?.revision ?? 0;
				run.changes.push({atMs: clock.monotonicMs(), service, revision});
			});
		},
		sampleReversions(nodes) {
			nodes
				.filter(node => node.isReady())
				.forEach(({address, store}) => {
					const prefix = `${address} `;
					store.listItems().forEach(({service, revision}) => {
						const key = prefix + service;
						reversionCount += revision < (served.get(key) ?? 0) ? 1 : 0;
						served.set(key, revision);
					});
				});
		},
		reversionCount: () => reversionCount,
		listDelaysMs: (edits, windows) =>
			runs.flatMap(run => edits.map(edit => findDelayMs(run, edit, windows)).filter(delayMs => delayMs !== undefined)),
	};
};

import type * as fakes from '@bilberrydoor/fakes';
import type {MeasuredNode} from './measured-fleet.js';

/** A period in which some nodes could not receive records. */
export type CutOffWindow = {
	readonly beginMs: number;
	readonly endMs: number;
	readonly addresses: ReadonlySet<string>;
};

/** An edit that is accepted according to the order of the log. */
export type AcceptedEdit = {readonly service: string; readonly revision: number; readonly appendedAtMs: number};

type NodeRun = {
	readonly address: string;
	readonly startedAtMs: number;
	readonly changes: Array<{readonly atMs: number; readonly service: string; readonly revision: number}>;
};

/** Records when each node puts each revision in force, and counts reversions of ready nodes to older revisions. */
export type InForceRecorder = {
	watch(node: MeasuredNode): void;
	/** Counts entries of ready nodes whose revision is older than in the previous sample of the same address. */
	sampleReversions(nodes: readonly MeasuredNode[]): void;
	reversionCount(): number;
	/**
	 * Times from the append of each edit until each node that was running at that time had the edit in force, in ms. For a
	 * node that was cut off in between, the time starts at the end of the cut-off. Nodes that never had the edit in force
	 * are left out.
	 */
	listDelaysMs(edits: readonly AcceptedEdit[], windows: readonly CutOffWindow[]): number[];
};

const calculateDelayMs = (run: NodeRun, edit: AcceptedEdit, windows: readonly CutOffWindow[]): number | undefined => {
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
	const lastRevisions = new Map<string, number>();
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
						reversionCount += revision < (lastRevisions.get(key) ?? 0) ? 1 : 0;
						lastRevisions.set(key, revision);
					});
				});
		},
		reversionCount: () => reversionCount,
		listDelaysMs: (edits, windows) =>
			runs.flatMap(run =>
				edits.map(edit => calculateDelayMs(run, edit, windows)).filter(delayMs => delayMs !== undefined),
			),
	};
};

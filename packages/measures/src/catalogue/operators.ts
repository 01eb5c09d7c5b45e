import * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';
import type {MeasuredFleet} from './measured-fleet.js';

/** An edit that an operator was told is accepted. */
export type ReportedEdit = {readonly editId: string; readonly service: string; readonly revision: number};

export type OperatorOptions = {
	readonly operatorCount: number;
	/** Mean pause of an operator between edits, in ms. */
	readonly pauseMs: number;
	readonly serviceCount: number;
	/** Targets of each entry, which decide its size. */
	readonly targetCount: number;
};

const RETRY_MS = 2000;

/** Operators who edit few services, so that they meet on the same revision now and then. */
export const startOperators = (
	fleet: MeasuredFleet,
	options: OperatorOptions,
): {readonly reported: readonly ReportedEdit[]; stop(): void} => {
	const {clock, random} = fleet.environment;
	const reported: ReportedEdit[] = [];
	const controller = new AbortController();
	const pick = <T>(list: readonly T[]): T => list[Math.floor(random.fraction() * list.length)]!;

	const buildRequest = (editId: string): core.EditRequest => {
		const service = `service-${Math.floor(random.fraction() * options.serviceCount)}`;
		const newest = Math.max(0, ...fleet.nodes().map(({store}) => store.findItem(service)?.revision ?? 0));
		const places = [{region: 'pwani', availabilityZone: 'kinondoni'}];
		const targets = fakes.buildTargets({service, count: options.targetCount, slotCount: 4, places});
		return {
			editId,
			service,
			baseRevision: newest,
			entry: fakes.buildEntry({service, targets, floorSlotCount: newest}),
		};
	};

	/** Repeats an edit with the same id, through another node each time, until its fate is known. */
	const settleEdit = async (request: core.EditRequest): Promise<void> => {
		while (!controller.signal.aborted) {
			const {outcome, revision} = await pick(fleet.nodes()).submitEdit(request);
			if (outcome === core.EditOutcome.Accepted) {
				reported.push({editId: request.editId, service: request.service, revision});
			}

			if (outcome !== core.EditOutcome.NotYetKnown) {
				return;
			}

			await clock.sleep(RETRY_MS, controller.signal);
		}
	};

	/** Gives up on a node that was killed or paused while it held the request, as a client with a timeout does. */
	const editOnce = async (): Promise<void> => {
		const settled = new AbortController();
		const settle = async (): Promise<void> => {
			await settleEdit(buildRequest(random.token()));
			settled.abort();
		};

		await Promise.race([settle(), clock.sleep(30_000, settled.signal)]);
	};

	const work = async (): Promise<void> => {
		while (!controller.signal.aborted) {
			await clock.sleep(options.pauseMs * (0.5 + random.fraction()), controller.signal);
			await editOnce();
		}
	};

	void Promise.all(Array.from({length: options.operatorCount}, work));
	return {
		reported,
		stop() {
			controller.abort();
		},
	};
};

import * as core from '@bilberrydoor/core';
import * as fakes from '@bilberrydoor/fakes';
import type {MeasuredFleet} from './measured-fleet.js';

/** An edit that was reported to an operator as accepted. */
export type ReportedEdit = {readonly editId: string; readonly service: string; readonly revision: number};

export type OperatorOptions = {
	readonly operatorCount: number;
	/** Mean pause of an operator between edits, in ms. */
	readonly pauseMs: number;
	readonly serviceCount: number;
	/** Targets of each entry, which decide its size. */
	readonly targetCount: number;
};

const RETRY_DELAY_MS = 2000;

/** Starts operators who edit a small set of services, so that some edits conflict on the same base revision. */
export const startOperators = (
	fleet: MeasuredFleet,
	options: OperatorOptions,
): {readonly reported: readonly ReportedEdit[]; stop(): void} => {
	const {clock, random} = fleet.environment;
	const reported: ReportedEdit[] = [];
	const controller = new AbortController();
	const pickRandom = <T>(candidates: readonly T[]): T => candidates[Math.floor(random.fraction() * candidates.length)]!;

	const buildRequest = (editId: string): core.EditRequest => {
		const service = `service-${Math.floor(random.fraction() * options.serviceCount)}`;
		const newestRevision = Math.max(0, ...fleet.nodes().map(({store}) => store.findItem(service)?.revision ?? 0));
		const places = [{region: 'pwani', availabilityZone: 'kinondoni'}];
		const targets = fakes.buildTargets({service, count: options.targetCount, slotCount: 4, places});
		return {
			editId,
			service,
			baseRevision: newestRevision,
			entry: fakes.buildEntry({service, targets, floorSlotCount: newestRevision}),
		};
	};

	/** Submits an edit repeatedly with the same id, each time through a random node, until its outcome is known. */
	const submitUntilDecided = async (request: core.EditRequest): Promise<void> => {
		while (!controller.signal.aborted) {
			const {outcome, revision} = await pickRandom(fleet.nodes()).submitEdit(request);
			if (outcome === core.EditOutcome.Accepted) {
				reported.push({editId: request.editId, service: request.service, revision});
			}

			if (outcome !== core.EditOutcome.NotYetKnown) {
				return;
			}

			await clock.sleep(RETRY_DELAY_MS, controller.signal);
		}
	};

	/** Waits at most 30 s, as a client with a timeout does, because a node that is killed or paused does not reply. */
	const editOnce = async (): Promise<void> => {
		const completion = new AbortController();
		const submit = async (): Promise<void> => {
			await submitUntilDecided(buildRequest(random.token()));
			completion.abort();
		};

		await Promise.race([submit(), clock.sleep(30_000, completion.signal)]);
	};

	const runOperator = async (): Promise<void> => {
		while (!controller.signal.aborted) {
			await clock.sleep(options.pauseMs * (0.5 + random.fraction()), controller.signal);
			await editOnce();
		}
	};

	void Promise.all(Array.from({length: options.operatorCount}, runOperator));
	return {
		reported,
		stop() {
			controller.abort();
		},
	};
};

import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import {type MeasuredFleet, type MeasuredNode, regionOf, setLatencies} from './measured-fleet.js';

const LOG_POLL_PERIOD_MS = 1000;
const READ_LIMIT_COUNT = 256;
const DECISION_WAIT_LIMIT_MS = 10_000;
const DECISION_POLL_PERIOD_MS = 200;

type PollingNode = MeasuredNode & {run(signal: AbortSignal): Promise<void>};

/**
 * Creates a node of the baseline: it polls the log, uses neither peers nor snapshots, and continues at the oldest retained
 * record when the next one has expired.
 */
const createPollingNode = (environment: fakes.FakeFleet, address: string, host: fakes.FakeHost): PollingNode => {
	const clock = host.wrapClock(environment.clock);
	const {log, network} = environment;
	const logService = fakes.createFakeLogClient({
		log,
		clock: environment.clock,
		host,
		network,
		address,
		onTransfer(transfer) {
			environment.onLogTransfer?.(transfer);
		},
	});
	const codec = {serializeItem: (item: domain.CatalogueItem) => JSON.stringify(item)};
	const store = core.createCatalogueStore({authenticator: fakes.createFakeAuthenticator(), codec});
	let isReady = false;

	const readOnce = async (signal: AbortSignal): Promise<void> => {
		const request = {fromOffset: store.appliedOffset() + 1, limitCount: READ_LIMIT_COUNT, waitMs: 0};
		const reply = await logService.read(request, signal);
		if (reply.isErr()) {
			store.advanceTo((reply.error.firstOffset ?? 0) - 1);
			return;
		}

		reply.value.records.forEach(logged => store.applyRecord(logged));
		isReady ||= reply.value.nextOffset >= reply.value.endOffset;
	};

	const waitForDecision = async (editId: string): Promise<domain.EditDecision | undefined> => {
		const endMs = clock.monotonicMs() + DECISION_WAIT_LIMIT_MS;
		while (!store.findDecision(editId) && clock.monotonicMs() < endMs) {
			await clock.sleep(DECISION_POLL_PERIOD_MS);
		}

		return store.findDecision(editId);
	};

	return {
		address,
		region: regionOf(address),
		host,
		store,
		isReady: () => isReady,
		async submitEdit(request) {
			const record = {...request, kind: domain.CatalogueRecordKind.Edit, author: 'operator'} as const;
			await logService.append(record);
			const decision = await waitForDecision(request.editId);
			const isAccepted = decision?.verdict === domain.EditVerdict.Accepted;
			const decidedOutcome = isAccepted ? core.EditOutcome.Accepted : core.EditOutcome.Rejected;
			return {outcome: decision ? decidedOutcome : core.EditOutcome.NotYetKnown, revision: decision?.revision ?? 0};
		},
		async run(signal) {
			while (!signal.aborted) {
				await readOnce(signal);
				await clock.sleep(LOG_POLL_PERIOD_MS, signal);
			}
		},
	};
};

/** Creates the baseline, in which every node polls the log. */
export const createPollingFleet = (options: {seed: number}): MeasuredFleet => {
	const environment = fakes.createFakeFleet({seed: options.seed});
	setLatencies(environment);
	const nodes = new Map<string, {node: PollingNode; controller: AbortController}>();
	return {
		environment,
		nodes: () => [...nodes.values()].map(({node}) => node),
		startNode(address) {
			const replaced = nodes.get(address);
			replaced?.node.host.kill();
			replaced?.controller.abort();
			const node = createPollingNode(environment, address, fakes.createFakeHost());
			const controller = new AbortController();
			nodes.set(address, {node, controller});
			void node.run(controller.signal);
			return node;
		},
	};
};

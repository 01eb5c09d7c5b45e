import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import type {FakeHost} from './fake-host.js';
import type {FakeLogService} from './fake-log-service.js';
import type {FakeNetwork} from './fake-network.js';

/** Address of the log service in the fake network, used to cut paths to and from it. */
export const FAKE_LOG_ADDRESS = 'log';

/** A completed request of a node to the log service. */
export type LogTransfer = {
	/** Address of the node. */
	readonly address: string;
	/** Estimated size of request and reply, in bytes. */
	readonly sizeBytes: number;
};

/** Fixed overhead of an HTTP exchange, in bytes. */
const EXCHANGE_OVERHEAD_BYTES = 400;
/** Time until a request over a cut path fails, in ms. */
const CUT_PATH_TIMEOUT_MS = 1000;

/** Creates one node's client of the log service. It is affected by pauses of the node's process and by cuts of its path. */
export const createFakeLogClient = (dependencies: {
	log: FakeLogService;
	clock: core.Clock;
	host: FakeHost;
	network: FakeNetwork;
	address: string;
	onTransfer: (transfer: LogTransfer) => void;
}): core.LogService => {
	const {log, clock, host, network, address, onTransfer} = dependencies;

	const exchange = async <T>(
		sentBytes: number,
		send: () => Promise<neverthrow.Result<T, core.LogError>>,
		signal: AbortSignal | undefined,
	): Promise<neverthrow.Result<T, core.LogError>> => {
		await host.waitUntilRunning();
		if (network.isCut(address, FAKE_LOG_ADDRESS)) {
			await clock.sleep(CUT_PATH_TIMEOUT_MS, signal);
			await host.waitUntilRunning();
			return neverthrow.err({kind: core.LogErrorKind.Unavailable, detail: 'connection failed'});
		}

		await clock.sleep(network.latencyMs(address, FAKE_LOG_ADDRESS), signal);
		const reply = await send();
		await clock.sleep(network.latencyMs(FAKE_LOG_ADDRESS, address), signal);
		await host.waitUntilRunning();
		if (network.isCut(FAKE_LOG_ADDRESS, address)) {
			await clock.sleep(CUT_PATH_TIMEOUT_MS, signal);
			await host.waitUntilRunning();
			return neverthrow.err({kind: core.LogErrorKind.Uncertain, detail: 'the answer was lost'});
		}

		const receivedBytes = reply.isOk() ? JSON.stringify(reply.value).length : 0;
		onTransfer({address, sizeBytes: sentBytes + receivedBytes + EXCHANGE_OVERHEAD_BYTES});
		return reply;
	};

	return {
		append: async (record, signal) =>
			exchange(JSON.stringify(record).length, async () => log.append(record, signal), signal),
		read: async (request, signal) => exchange(0, async () => log.read(request, signal), signal),
	};
};

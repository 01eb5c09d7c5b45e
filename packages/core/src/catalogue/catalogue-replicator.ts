import type * as ports from '../ports/index.js';
import type {CatalogueStore, EditResult} from './catalogue-store.js';

export type CatalogueReplicatorOptions = {
	/** Records read at once. */
	readonly readLimitCount: number;
	/** How long a read may wait for a record, in ms. */
	readonly readWaitMs: number;
	/** Pause after a failed read, in ms; doubled up to `retryLimitMs`, with jitter. */
	readonly retryMs: number;
	readonly retryLimitMs: number;
};

export const DEFAULT_CATALOGUE_REPLICATOR_OPTIONS: CatalogueReplicatorOptions = {
	readLimitCount: 256,
	readWaitMs: 1000,
	retryMs: 200,
	retryLimitMs: 5000,
};

/** Keeps the catalogue store up to date. */
export type CatalogueReplicator = {
	/** Whether a catalogue is in force that is no older than the fleet's known offset. */
	isReady(): boolean;
	/** Registers a listener for what becomes of edits. */
	subscribeToResults(listener: (result: EditResult) => void): void;
	/** Follows the log until `signal` is aborted. */
	run(signal: AbortSignal): Promise<void>;
};

export const createCatalogueReplicator = (dependencies: {
	ports: ports.NodePorts;
	store: CatalogueStore;
	options?: Partial<CatalogueReplicatorOptions>;
}): CatalogueReplicator => {
	const {store} = dependencies;
	const {clock, logService, logger, random} = dependencies.ports;
	const options = {...DEFAULT_CATALOGUE_REPLICATOR_OPTIONS, ...dependencies.options};
	const listeners: Array<(result: EditResult) => void> = [];
	let isReady = false;

	const readOnce = async (signal: AbortSignal): Promise<boolean> => {
		const reply = await logService.read(
			{fromOffset: store.appliedOffset() + 1, limitCount: options.readLimitCount, waitMs: options.readWaitMs},
			signal,
		);
		if (reply.isErr()) {
			logger.warn('catalogue log read failed', {kind: reply.error.kind, detail: reply.error.detail});
			return false;
		}

		reply.value.records.forEach(logged => {
			const result = store.applyRecord(logged);
			if (result) {
				listeners.forEach(listener => {
					listener(result);
				});
			}
		});
		isReady ||= reply.value.nextOffset >= reply.value.endOffset;
		return true;
	};

	return {
		isReady: () => isReady,
		subscribeToResults(listener) {
			listeners.push(listener);
		},
		async run(signal) {
			let pauseMs = options.retryMs;
			while (!signal.aborted) {
				const isRead = await readOnce(signal);
				if (isRead) {
					pauseMs = options.retryMs;
				} else {
					await clock.sleep(pauseMs * (0.5 + random.fraction()), signal);
					pauseMs = Math.min(pauseMs * 2, options.retryLimitMs);
				}
			}
		},
	};
};

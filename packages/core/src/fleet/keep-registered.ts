import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {KeyState} from '../registry/key-state.js';
import type {Registry} from '../registry/registry.js';
import {createBackOff} from '../shared/back-off.js';

export type RegistrationOptions = {
	readonly self: domain.RegisteredNode;
	readonly registry: Pick<Registry, 'replicas' | 'eras'>;
	readonly store: Pick<ports.RegistryStore, 'publishNode' | 'withdrawNode'>;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	/** Aborted when the node stops and its registration is withdrawn. */
	readonly stopSignal: AbortSignal;
};

/** Back-off between attempts to register, since other nodes may be registering at the same time. */
const REGISTRATION_BACK_OFF = {firstMs: 300, limitMs: 3000};

/** Interval of the registration check: longer than the 6 s within which a write without an answer may still take effect. */
const REGISTRATION_CHECK_MS = 7000;

/** Interval at which a node checks after a rollback whether it has the store's list of nodes. */
const REREAD_CHECK_MS = 100;

/** After a rollback, all nodes may have to register again. Their writes are spread over this time. */
const REGISTRATION_SPREAD_MS = 800;

/**
 * Registers the node, and again whenever its record is lost: a delayed write of its former run may overwrite it, and a rollback
 * of the store may lose it. After the node has been withdrawn, a rollback may restore its record, which is then withdrawn again.
 */
export const keepRegistered = async (options: RegistrationOptions, signal: AbortSignal): Promise<void> => {
	const {self, registry, store, clock, random, logger, stopSignal} = options;
	const {nodes} = registry.replicas;
	const backOff = createBackOff({random, ...REGISTRATION_BACK_OFF});
	let checkedRollbackCount = registry.eras.rollbackCount();

	/** A record that a rollback lost stays in use for a while, but has to be written again. */
	const isRegistered = (): boolean =>
		nodes.stateOf(self.nodeId) === KeyState.InUse &&
		nodes.values().get(self.nodeId)?.incarnationId === self.incarnationId;

	/** Waits until the registration is to be checked: after the interval, or at once after a rollback of the store. */
	const waitForCheck = async (): Promise<void> => {
		const waiting = new AbortController();
		const stop = (): void => {
			waiting.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		if (registry.eras.rollbackCount() === checkedRollbackCount) {
			await Promise.race([
				registry.eras.waitForRollback(waiting.signal),
				clock.sleep(REGISTRATION_CHECK_MS, waiting.signal),
			]);
		}

		stop();
		signal.removeEventListener('abort', stop);
		if (registry.eras.rollbackCount() === checkedRollbackCount) {
			return;
		}

		while (!signal.aborted && nodes.era() < registry.eras.newest()) {
			await clock.sleep(REREAD_CHECK_MS, signal);
		}

		checkedRollbackCount = registry.eras.rollbackCount();
		await clock.sleep(random.fraction() * REGISTRATION_SPREAD_MS, signal);
	};

	/** Writes until the store has acknowledged the write. */
	const writeUntilDone = async (write: () => ReturnType<typeof store.publishNode>): Promise<void> => {
		while (!signal.aborted) {
			const written = await write();
			if (written.isOk()) {
				backOff.reset();
				return;
			}

			logger.warn('node not registered', {event: ports.LogEvent.NodeNotRegistered, detail: written.error.detail});
			await clock.sleep(backOff.nextMs(), signal);
		}
	};

	const register = async (): Promise<void> => {
		await writeUntilDone(async () => store.publishNode(self, signal));
		logger.info('node registered', {event: ports.LogEvent.NodeRegistered, nodeId: self.nodeId});
	};

	await register();
	while (!signal.aborted) {
		const lastCount = checkedRollbackCount;
		await waitForCheck();
		if (!stopSignal.aborted && !isRegistered()) {
			await register();
		} else if (stopSignal.aborted && checkedRollbackCount > lastCount) {
			await writeUntilDone(async () => store.withdrawNode(self.nodeId, signal));
		}
	}
};

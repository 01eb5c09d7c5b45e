import * as ports from '../ports/index.js';
import {createBackOff} from '../shared/back-off.js';
import type {Registry} from './registry.js';

export type RecordAgeLimitOptions = {
	readonly registry: Pick<Registry, 'topicAgesMs'>;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	/** Reads the store once, whether or not it succeeds. */
	readonly readStore: () => Promise<void>;
	/** Whether the node reads the store anyway, or has no records yet. */
	readonly isExempt: () => boolean;
	/** Whether the node pulls from relays and one of them has answered lately. */
	readonly hasAnsweringRelay: () => boolean;
};

/**
 * Ages of the records at which a node reads the store itself, whatever its peers do. Changes have to be in force, and leaving
 * targets without new calls, within 2.5 s; the rest of that time is for the read and for calls that are on their way. Every
 * reply of a source carries both topics, so the targets, which are read more often, show how long no reply has arrived. The
 * catalogue may be older while its reader waits for a change.
 */
const OWN_READ_AGES_MS = {
	[ports.RegistryTopic.Catalogue]: 2700,
	[ports.RegistryTopic.Targets]: 2000,
};

/**
 * Further age at which a node reads the store itself although its relays answer, times 1 to 2. They read the store when their
 * own records are old, and all nodes of a large region would be too many while the store is down.
 */
const RELAY_TRUST_MS = 2000;

/** Interval at which a node whose records are old checks whether it has to read the store itself. */
const AGE_CHECK_INTERVAL_MS = 50;

/** Pauses after failed reads of this kind; long, because all nodes of the region may be reading. */
const OWN_READ_BACK_OFF = {firstMs: 1500, limitMs: 4000};

/** Reads the store whenever the node's records reach the age limit, until the signal is aborted. */
export const limitRecordAge = async (options: RecordAgeLimitOptions, signal: AbortSignal): Promise<void> => {
	const {registry, clock, random} = options;
	const backOff = createBackOff({random, ...OWN_READ_BACK_OFF});
	const relayTrustMs = RELAY_TRUST_MS * (1 + random.fraction());

	/** How much older than the limit the node's records are, in ms; negative if they are younger. */
	const excessAgeMs = (): number => {
		const {catalogue, targets} = registry.topicAgesMs();
		return Math.max(catalogue - OWN_READ_AGES_MS.catalogue, targets - OWN_READ_AGES_MS.targets);
	};

	while (!signal.aborted) {
		const excessMs = excessAgeMs();
		if (excessMs < 0) {
			backOff.reset();
			await clock.sleep(-excessMs, signal);
		} else if (options.isExempt() || (options.hasAnsweringRelay() && excessMs < relayTrustMs)) {
			await clock.sleep(AGE_CHECK_INTERVAL_MS, signal);
		} else {
			await options.readStore();
			await clock.sleep(excessAgeMs() < 0 ? 0 : backOff.nextMs(), signal);
		}
	}
};

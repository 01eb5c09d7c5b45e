import * as neverthrow from 'neverthrow';
import * as ports from '../ports/index.js';
import type {TimedResult} from '../shared/run-with-timeout.js';
import type {Registry} from './registry.js';
import {CALL_CRITICAL_TOPICS} from './topic-ages.js';

/** Unwraps a peer's reply; a time-out becomes an error of kind `Lost`. */
export const readPeerReply = <Reply>(
	timed: TimedResult<neverthrow.Result<Reply, ports.PeerError>>,
): neverthrow.Result<Reply, ports.PeerError> =>
	timed.isTimedOut ? neverthrow.err({kind: ports.PeerErrorKind.Lost, detail: 'no reply in time'}) : timed.value;

/** Whether a peer's records are of an older era of the store than the newest known one, so that another peer should be used. */
export const isOfOlderEra = (topics: ports.PullRegistryReply['topics'], registry: Pick<Registry, 'eras'>): boolean =>
	CALL_CRITICAL_TOPICS.some(topic => registry.eras.resolve(topics[topic].era) < registry.eras.newest());

import * as neverthrow from 'neverthrow';
import * as ports from '../ports/index.js';
import type {TimedResult} from '../shared/run-with-timeout.js';

/** A peer's reply; one that did not come in time is an error like any other. */
export const readPeerReply = <Reply>(
	timed: TimedResult<neverthrow.Result<Reply, ports.PeerError>>,
): neverthrow.Result<Reply, ports.PeerError> =>
	timed.isTimedOut ? neverthrow.err({kind: ports.PeerErrorKind.Lost, detail: 'no reply in time'}) : timed.value;

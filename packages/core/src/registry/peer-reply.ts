import * as neverthrow from 'neverthrow';
import * as ports from '../ports/index.js';
import type {TimedResult} from '../shared/run-with-timeout.js';

/** Unwraps a peer's reply; a time-out becomes an error of kind `Lost`. */
export const readPeerReply = <Reply>(
	timed: TimedResult<neverthrow.Result<Reply, ports.PeerError>>,
): neverthrow.Result<Reply, ports.PeerError> =>
	timed.isTimedOut ? neverthrow.err({kind: ports.PeerErrorKind.Lost, detail: 'no reply in time'}) : timed.value;

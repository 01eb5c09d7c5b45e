import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import * as ports from '../ports/index.js';
import {STOP_REASON} from '../shared/stop-reason.js';

/**
 * Time to wait for the reply after the call's deadline, in ms. The peer ends the call at the deadline; this time covers
 * network latency and event loop delays.
 */
const FORWARD_GRACE_MS = 1000;

/**
 * Forwards a call to a peer. Ends with a lost-peer error shortly after the call's deadline if the peer has not replied.
 * Aborting `signal` cancels the work at the peer and the body of its answer.
 */
export const forwardWithinDeadline = async (
	dependencies: Pick<ports.NodePorts, 'clock' | 'peerClient'>,
	address: string,
	forwarded: ports.ForwardedCall,
	signal: AbortSignal,
): Promise<neverthrow.Result<domain.CallEnding, ports.PeerError>> => {
	const {clock, peerClient} = dependencies;
	const forwardController = new AbortController();
	const timeoutController = new AbortController();
	const abortForward = (): void => {
		forwardController.abort(STOP_REASON);
	};

	if (signal.aborted) {
		abortForward();
	}

	signal.addEventListener('abort', abortForward, {once: true});
	const timeoutMs = Math.max(0, forwarded.remainingMs) + FORWARD_GRACE_MS;
	const waitForTimeout = async () => {
		await clock.sleep(timeoutMs, timeoutController.signal);
		const detail = `peer ${address} did not reply within ${timeoutMs} ms`;
		return neverthrow.err<domain.CallEnding, ports.PeerError>({kind: ports.PeerErrorKind.Lost, detail});
	};

	const result = await Promise.race([
		peerClient.forwardCall(address, forwarded, forwardController.signal),
		waitForTimeout(),
	]);
	timeoutController.abort(STOP_REASON);
	if (result.isErr()) {
		abortForward();
	}

	if (result.isErr() || result.value.outcome !== domain.Outcome.Completed) {
		signal.removeEventListener('abort', abortForward);
	}

	return result;
};

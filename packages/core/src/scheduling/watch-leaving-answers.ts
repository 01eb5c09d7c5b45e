import type * as domain from '@bilberrydoor/domain';
import {LEAVING_HEADER} from '../health/leaving-sign.js';
import type * as ports from '../ports/index.js';

/** Wraps a target client to report answers whose header marks the target as leaving. */
export const watchLeavingAnswers = (
	targetClient: ports.TargetClient,
	onLeaving: (target: domain.TargetEntry) => void,
): ports.TargetClient => ({
	async send(target, request, signal) {
		const sent = await targetClient.send(target, request, signal);
		if (sent.isOk() && sent.value.headers.some(([name]) => name === LEAVING_HEADER)) {
			onLeaving(target);
		}

		return sent;
	},
	probe: async (target, attemptId, signal) => targetClient.probe(target, attemptId, signal),
});

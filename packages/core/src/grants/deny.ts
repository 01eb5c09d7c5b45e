import type * as ports from '../ports/index.js';

export const deny = (refusal: ports.GrantRefusal, predictedWaitMs: number): ports.GrantDenial => ({
	isGranted: false,
	refusal,
	predictedWaitMs: Math.round(predictedWaitMs),
});

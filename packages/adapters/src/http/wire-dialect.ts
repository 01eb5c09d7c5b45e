/** Header names that a platform gives to what callers, nodes and targets tell each other. All in lower case. */
export type WireDialect = {
	/** Names one attempt of a caller; targets repeat it in their answers. */
	readonly requestIdHeader: string;
	/** Time that is left for the request, in ms. */
	readonly remainingMsHeader: string;
	/** Target that alone may run the request. */
	readonly expectedTargetHeader: string;
	/** Marks an answer as one to a request that was not run. */
	readonly notRunHeader: string;
	/** Proof that an answer is the target's own. */
	readonly signatureHeader: string;
};

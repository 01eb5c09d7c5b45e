/** Names of the headers that callers, nodes and targets of a platform exchange, in lower case. */
export type WireDialect = {
	/** Identifies one attempt of a caller. Targets copy it into their answers. */
	readonly requestIdHeader: string;
	/** Time left for the request, in ms. */
	readonly remainingMsHeader: string;
	/** Id of the only target that may run the request. */
	readonly expectedTargetHeader: string;
	/** Name of the workspace of the call's key, as the fleet tells it to targets. */
	readonly workspaceHeader: string;
	/** Present in the answer to a request that the target did not run. */
	readonly notRunHeader: string;
	/** Signature that shows that the target itself produced the answer. */
	readonly signatureHeader: string;
	/** Has the value `leavingValue` in every answer of a target that is leaving. */
	readonly leavingHeader: string;
	readonly leavingValue: string;
};

/** Load of the process itself. */
export type NodeLoad = {
	/** Recent delay of the event loop, in ms. */
	eventLoopDelayMs(): number;
	/** Resident memory in bytes. */
	residentBytes(): number;
};

/** By which sign a target is known to leave, as operators read it. */
export enum LeavingSign {
	Entry = 'draining in the entry',
	VmList = 'leaving by the VM list',
	HealthEndpoint = 'leaving by its health endpoint',
	AnswerHeader = 'leaving by the header of an answer',
	PeerReport = 'leaving by the report of a peer',
}

/** Name of the header by which targets say that they leave. */
export const LEAVING_HEADER = 'bilberrydoor-leaving';

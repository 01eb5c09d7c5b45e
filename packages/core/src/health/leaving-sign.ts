/** How it was detected that a target is leaving. The values are shown to operators. */
export enum LeavingSign {
	Entry = 'draining in the entry',
	VmList = 'leaving by the VM list',
	HealthEndpoint = 'leaving by its health endpoint',
	AnswerHeader = 'leaving by the header of an answer',
	PeerReport = 'leaving by the report of a peer',
}

/** Answer header that a target sets while it is leaving. */
export const LEAVING_HEADER = 'bilberrydoor-leaving';

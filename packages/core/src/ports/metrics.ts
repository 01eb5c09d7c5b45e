/** Counters. Their label values are enum values or service names. */
export enum CounterName {
	Calls = 'calls',
	Refusals = 'refusals',
	Retries = 'retries',
	Attempts = 'attempts',
	Ejections = 'ejections',
	LateAnswers = 'lateAnswers',
	MismatchedAnswers = 'mismatchedAnswers',
	UnconfirmedAnswers = 'unconfirmedAnswers',
	LinkBytes = 'linkBytes',
	CatalogueEdits = 'catalogueEdits',
	PeerMessages = 'peerMessages',
	StoreCalls = 'storeCalls',
	Grants = 'grants',
	UnreadableRecords = 'unreadableRecords',
	PlacedCalls = 'placedCalls',
	PlacedBytes = 'placedBytes',
	RegionStays = 'regionStays',
	QuotaLeases = 'quotaLeases',
	QuotaDecisions = 'quotaDecisions',
	ClientLimits = 'clientLimits',
}

export enum GaugeName {
	AppliedOffset = 'appliedOffset',
	LiveNodes = 'liveNodes',
	HealthySlots = 'healthySlots',
	FloorSlots = 'floorSlots',
	QueuedCalls = 'queuedCalls',
	WaitingCalls = 'waitingCalls',
	OperationRecords = 'operationRecords',
	CatalogueAtRisk = 'catalogueAtRisk',
	CatalogueVersion = 'catalogueVersion',
	RegistryAgeSeconds = 'registryAgeSeconds',
	StoreEra = 'storeEra',
	QuotaAccounts = 'quotaAccounts',
	QuotaSharesHeld = 'quotaSharesHeld',
}

export enum HistogramName {
	CallSeconds = 'callSeconds',
	QueueSeconds = 'queueSeconds',
	VerdictAgeSeconds = 'verdictAgeSeconds',
}

/** Label values by label name. Label names are fixed for each metric by the adapter. */
export type Labels = Readonly<Record<string, string>>;

/** Records metrics for operators. */
export type Metrics = {
	increment(name: CounterName, labels: Labels, by?: number): void;
	set(name: GaugeName, labels: Labels, value: number): void;
	observe(name: HistogramName, labels: Labels, value: number): void;
};

/** Events that nodes of the fleet log. docs/OPERATIONS.md lists each with its fields. */
export enum LogEvent {
	/** An attempt at a target ended. */
	AttemptEnded = 'attempt-ended',
	/** A caller's body was too large or incomplete. */
	BodyRefused = 'body-refused',
	/** A call ended. */
	CallEnded = 'call-ended',
	/** Handling a call threw an unexpected exception. */
	CallHandlingFailed = 'call-handling-failed',
	/** A client reached a limit, so that a request was refused or a connection was closed. */
	ClientLimited = 'client-limited',
	/** The HTTP server ended a caller's connection because of what arrived on it. */
	ClientError = 'client-error',
	/** A new catalogue is in force on this node. */
	CatalogueInForce = 'catalogue-in-force',
	/** This node now requests the slots of a group from a different dispatcher. */
	DispatcherChanged = 'dispatcher-changed',
	/** The entry node did not use a grant, since it knows that the target is leaving or has left. */
	GrantReturned = 'grant-returned',
	/** A caller's request head was too large. */
	HeadRefused = 'head-refused',
	/** Log lines were dropped because their reader was too slow. */
	LogLinesDropped = 'log-lines-dropped',
	/** Registering the node in the store failed. */
	NodeNotRegistered = 'node-not-registered',
	/** The node is registered in the store. */
	NodeRegistered = 'node-registered',
	/** The process is ready to serve calls. */
	NodeStarted = 'node-started',
	/** The process is about to exit. */
	NodeStopped = 'node-stopped',
	/** The process was requested to stop. */
	NodeStopping = 'node-stopping',
	/** A peer could not be reached and is skipped for now. */
	PeerLost = 'peer-lost',
	/** A message from a peer was malformed. */
	PeerMessageRefused = 'peer-message-refused',
	/** A peer that was skipped has answered again. */
	PeerRegained = 'peer-regained',
	/** Calls of a workspace were refused because its quota is used up. */
	QuotaExceeded = 'quota-exceeded',
	/** The node now holds a share of the quotas of a partition's workspaces. */
	QuotaShareHeld = 'quota-share-held',
	/** The node no longer holds a share of quotas. */
	QuotaShareReleased = 'quota-share-released',
	/** The node has the shares that it holds confirmed again, since its process was paused. */
	QuotaSharesUnconfirmed = 'quota-shares-unconfirmed',
	/** The node has become a reader of the store for its region. */
	ReaderStarted = 'reader-started',
	/** A record of the store cannot be used. */
	RecordUnusable = 'record-unusable',
	/** Changed settings are invalid; the previous ones stay in force. */
	ReloadFailed = 'reload-failed',
	/** The result of an attempt could not be reported to the dispatcher. */
	ReportLost = 'report-lost',
	/** The node now receives the registry from a different peer, or from the store itself. */
	RegistrySourceChanged = 'registry-source-changed',
	/** A changed setting is not in use until the process is started again. */
	SettingNeedsRestart = 'setting-needs-restart',
	/** Changed settings are in force. */
	SettingsReloaded = 'settings-reloaded',
	/** The settings file cannot be read. */
	SettingsUnreadable = 'settings-unreadable',
	/** The process received a signal. */
	SignalReceived = 'signal-received',
	/** A zone or region has begun to send a notable part of its calls to another one. */
	SpillStarted = 'spill-started',
	/** A zone or region has ended to send calls to another one. */
	SpillEnded = 'spill-ended',
	/** The store answers from an older copy, in a new era: records were lost, and their offsets are assigned again. */
	StoreEraChanged = 'store-era-changed',
	/** A pause in the store's answers was taken for an outage, in which registrations of targets may have expired. */
	StoreOutageAssumed = 'store-outage-assumed',
	/** Peers have shown that the store answered them during an assumed outage. */
	StoreOutageRuledOut = 'store-outage-ruled-out',
	/** Reads of the store fail. */
	StoreLost = 'store-lost',
	/** The store answers again. */
	StoreRegained = 'store-regained',
	/** A target has said that it is leaving. */
	TargetLeaving = 'target-leaving',
	/** A target has asked for a pause without calls. */
	TargetPaused = 'target-paused',
	/** A target has asked for a pause that cannot be read or is too long; another one is used. */
	TargetPauseBounded = 'target-pause-bounded',
	/** A target that had been set aside has run calls successfully again. */
	TargetReturned = 'target-returned',
	/** A target was set aside because of a gray failure: it fails part of its calls. */
	TargetSetAside = 'target-set-aside',
	/** A topic of the registry was read anew, since the store is in a new era. */
	TopicReread = 'topic-reread',
}

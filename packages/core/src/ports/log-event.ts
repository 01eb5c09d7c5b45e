/** Names of the log lines of a fleet's node. docs/OPERATIONS.md lists each with its fields. */
export enum LogEvent {
	/** An attempt at a target ended. */
	AttemptEnded = 'attempt-ended',
	/** A caller's body was too large or broke off. */
	BodyRefused = 'body-refused',
	/** A call ended. */
	CallEnded = 'call-ended',
	/** The program failed on a call. */
	CallHandlingFailed = 'call-handling-failed',
	/** A new catalogue is in force on this node. */
	CatalogueInForce = 'catalogue-in-force',
	/** This node asks another dispatcher than before for a group's slots. */
	DispatcherChanged = 'dispatcher-changed',
	/** Lines were dropped because their reader was slow. */
	LogLinesDropped = 'log-lines-dropped',
	/** The store did not take the node's record. */
	NodeNotRegistered = 'node-not-registered',
	/** The store has the node's record. */
	NodeRegistered = 'node-registered',
	/** The process serves. */
	NodeStarted = 'node-started',
	/** The process ends. */
	NodeStopped = 'node-stopped',
	/** The process was told to stop. */
	NodeStopping = 'node-stopping',
	/** A peer could not be reached and is passed over. */
	PeerLost = 'peer-lost',
	/** A message from a peer was malformed. */
	PeerMessageRefused = 'peer-message-refused',
	/** A peer that was passed over answered. */
	PeerRegained = 'peer-regained',
	/** The node reads the store for its region. */
	ReaderStarted = 'reader-started',
	/** A record of the store cannot be used. */
	RecordUnusable = 'record-unusable',
	/** Changed settings are not valid and stay unused. */
	ReloadFailed = 'reload-failed',
	/** A dispatcher did not get a result. */
	ReportLost = 'report-lost',
	/** The node learns from another peer, or from the store itself. */
	RegistrySourceChanged = 'registry-source-changed',
	/** Changed settings are in force. */
	SettingsReloaded = 'settings-reloaded',
	/** The settings file cannot be read. */
	SettingsUnreadable = 'settings-unreadable',
	/** Reads of the store fail. */
	StoreLost = 'store-lost',
	/** The store answers again. */
	StoreRegained = 'store-regained',
	/** A target that was gray has served again. */
	TargetReturned = 'target-returned',
	/** A target was found gray. */
	TargetSetAside = 'target-set-aside',
}

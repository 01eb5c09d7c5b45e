/** What a replica knows of a key. */
export enum KeyState {
	/** The key has a value. */
	InUse = 'in-use',
	/** The key was removed after an outage or a rollback of the store, and its last value stays in use for a while. */
	Lapsing = 'lapsing',
	/** The key was removed. */
	Removed = 'removed',
	/** The replica has no record of the key. */
	Unknown = 'unknown',
}

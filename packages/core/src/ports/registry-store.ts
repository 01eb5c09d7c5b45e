import type * as domain from '@bilberrydoor/domain';
import type * as neverthrow from 'neverthrow';

/** Kinds of records that are replicated to every node. */
export enum RegistryTopic {
	Catalogue = 'catalogue',
	Targets = 'targets',
	Nodes = 'nodes',
}

/** Type of a record's value by topic. */
export type RegistryValues = {
	[RegistryTopic.Catalogue]: domain.FleetCatalogue;
	[RegistryTopic.Targets]: domain.RegisteredTarget;
	[RegistryTopic.Nodes]: domain.RegisteredNode;
};

/** What follows from a record, or a part of one, that cannot be read. */
export enum UnreadableEffect {
	/** The rule's last readable version stays in force; without one, its calls are refused. */
	RouteLeftOut = 'route-left-out',
	/** The rule is used, and its calls run at most once. */
	RunsOnce = 'runs-once',
	/** The workspace's entry is left out, and its keys are not accepted. */
	WorkspaceLeftOut = 'workspace-left-out',
	/** The service's entry is left out. */
	ServiceLeftOut = 'service-left-out',
	/** A default takes the place of the value. */
	DefaultUsed = 'default-used',
	/** The last readable record of the key stays in force. */
	LastRecordKept = 'last-record-kept',
	/** The record names no target. */
	NoTarget = 'no-target',
}

/** What follows from a record that cannot be read as a whole. */
export const UNREADABLE_RECORD_EFFECTS: Record<RegistryTopic, UnreadableEffect> = {
	[RegistryTopic.Catalogue]: UnreadableEffect.LastRecordKept,
	// Such a record may come from another writer, and the platform says that it names no target.
	[RegistryTopic.Targets]: UnreadableEffect.NoTarget,
	[RegistryTopic.Nodes]: UnreadableEffect.LastRecordKept,
};

/** The newest record of a key. */
export type RegistryRecord<Topic extends RegistryTopic> = {
	readonly key: string;
	/** Offset in the topic. Within an era of the store, a newer record of a key has a higher one. */
	readonly offset: number;
	/** Absent when the record was removed or cannot be used. */
	readonly value: RegistryValues[Topic] | undefined;
	/** True if the key has a record, but this version of the program cannot read it. */
	readonly isUnreadable?: boolean;
};

export type RegistryChanges<Topic extends RegistryTopic> = {
	readonly records: ReadonlyArray<RegistryRecord<Topic>>;
	/** Offset to continue from. */
	readonly nextOffset: number;
	/** Era of the store in which the offsets were assigned. It rises each time the store continues from an older copy. */
	readonly era: number;
};

export enum RegistryErrorKind {
	/** The store cannot be reached, is too slow or refuses this node. */
	Unavailable = 'unavailable',
	/** The store does not have the requested offset, so the whole topic must be read. */
	Expired = 'expired',
}

export type RegistryError = {
	readonly kind: RegistryErrorKind;
	readonly detail: string;
	/** Era of the store, if it answered. */
	readonly era?: number;
};

/** The platform's store of keyed records. Each call may fail at any moment. */
export type RegistryStore = {
	/** Records from `fromOffset` on, waiting up to `waitMs` for the first. */
	readChanges<Topic extends RegistryTopic>(
		topic: Topic,
		request: {fromOffset: number; waitMs: number},
		signal: AbortSignal,
	): Promise<neverthrow.Result<RegistryChanges<Topic>, RegistryError>>;
	/** The newest record of every key. */
	readAll<Topic extends RegistryTopic>(
		topic: Topic,
		signal: AbortSignal,
	): Promise<neverthrow.Result<RegistryChanges<Topic>, RegistryError>>;
	publishNode(node: domain.RegisteredNode, signal: AbortSignal): Promise<neverthrow.Result<void, RegistryError>>;
	withdrawNode(nodeId: string, signal: AbortSignal): Promise<neverthrow.Result<void, RegistryError>>;
};

import * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {KeyState} from '../registry/key-state.js';

/** What a node knew of a key before the store went back to an older copy. */
export type PriorKnowledge<Topic extends ports.RegistryTopic> = {
	readonly state: KeyState;
	/** Last value, also of a removed key; undefined if it is not known. */
	readonly value: ports.RegistryValues[Topic] | undefined;
	/** Whether the key counts as removed only because a copy of the store lacked it after a rollback. */
	readonly isLost: boolean;
	/** Offset up to which the node had read the topic. */
	readonly nextOffset: number;
};

/** Decides which value a record of the store's copy has, which may be older than what the node knew. */
type Adoption<Topic extends ports.RegistryTopic> = (
	prior: PriorKnowledge<Topic>,
	restored: ports.RegistryRecord<Topic> & {readonly value: ports.RegistryValues[Topic]},
) => ports.RegistryValues[Topic] | undefined;

type Adoptions<Topic extends ports.RegistryTopic> = Readonly<Record<KeyState, Adoption<Topic>>>;

const adoptRestored = <Topic extends ports.RegistryTopic>(
	_prior: PriorKnowledge<Topic>,
	{value}: {readonly value: ports.RegistryValues[Topic]},
): ports.RegistryValues[Topic] => value;

const CATALOGUE_ADOPTIONS: Adoptions<ports.RegistryTopic.Catalogue> = {
	[KeyState.InUse]: (prior, {value}) => (prior.value && prior.value.version >= value.version ? prior.value : value),
	[KeyState.Lapsing]: adoptRestored,
	[KeyState.Removed]: adoptRestored,
	[KeyState.Unknown]: adoptRestored,
};

/** A target that was leaving or had left stays so until it writes its record anew, which living targets do with each heartbeat. */
const TARGET_ADOPTIONS: Adoptions<ports.RegistryTopic.Targets> = {
	[KeyState.InUse]: ({value: known}, {value}) =>
		known?.startedAtMs === value.startedAtMs && known.readiness === domain.TargetReadiness.Draining ? known : value,
	[KeyState.Lapsing]: adoptRestored,
	[KeyState.Removed]: ({value: known, isLost}, {value}) =>
		isLost || (known !== undefined && known.startedAtMs !== value.startedAtMs) ? value : undefined,
	// The node had read beyond the record and did not have the key, so the key had been removed.
	[KeyState.Unknown]: ({nextOffset}, {value, offset}) => (offset < nextOffset ? undefined : value),
};

/** Nodes write their records once, so only a known incarnation counts as withdrawn. */
const NODE_ADOPTIONS: Adoptions<ports.RegistryTopic.Nodes> = {
	[KeyState.InUse]: adoptRestored,
	[KeyState.Lapsing]: adoptRestored,
	[KeyState.Removed]: ({value: known, isLost}, {value}) =>
		isLost || known?.incarnationId !== value.incarnationId ? value : undefined,
	[KeyState.Unknown]: adoptRestored,
};

const ADOPTIONS: {readonly [Topic in ports.RegistryTopic]: Adoptions<Topic>} = {
	[ports.RegistryTopic.Catalogue]: CATALOGUE_ADOPTIONS,
	[ports.RegistryTopic.Targets]: TARGET_ADOPTIONS,
	[ports.RegistryTopic.Nodes]: NODE_ADOPTIONS,
};

/**
 * Value that a key has from a record which the store may have restored, given what the node knew of it before; undefined if the
 * record is withheld until it is written anew.
 */
export const adoptRestoredValue = <Topic extends ports.RegistryTopic>(
	topic: Topic,
	prior: PriorKnowledge<Topic>,
	restored: ports.RegistryRecord<Topic>,
): ports.RegistryValues[Topic] | undefined => {
	const {value} = restored;
	if (value === undefined) {
		const isKept = ports.UNREADABLE_RECORD_EFFECTS[topic] === ports.UnreadableEffect.LastRecordKept;
		return isKept && prior.state === KeyState.InUse ? prior.value : undefined;
	}

	const adoptions: Adoptions<Topic> = ADOPTIONS[topic];
	return adoptions[prior.state](prior, {...restored, value});
};

import type {Authenticator} from './authenticator.js';
import type {CatalogueCodec} from './catalogue-codec.js';
import type {Clock} from './clock.js';
import type {LogService} from './log-service.js';
import type {Logger} from './logger.js';
import type {Metrics} from './metrics.js';
import type {NodeLoad} from './node-load.js';
import type {PeerClient} from './peer-client.js';
import type {Random} from './random.js';
import type {TargetClient} from './target-client.js';
import type {VmList} from './vm-list.js';

export type * from './authenticator.js';
export type * from './catalogue-codec.js';
export type * from './clock.js';
export * from './fleet-peer.js';
export * from './fleet-target-client.js';
export * from './log-event.js';
export * from './log-service.js';
export type * from './logger.js';
export * from './metrics.js';
export type * from './node-load.js';
export * from './peer-client.js';
export * from './peer-message.js';
export type * from './random.js';
export * from './registry-store.js';
export * from './target-client.js';
export type * from './vm-list.js';

/** All ports through which a node uses the outside world. */
export type NodePorts = {
	readonly authenticator: Authenticator;
	readonly catalogueCodec: CatalogueCodec;
	readonly clock: Clock;
	readonly logService: LogService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly nodeLoad: NodeLoad;
	readonly peerClient: PeerClient;
	readonly random: Random;
	readonly targetClient: TargetClient;
	readonly vmList: VmList;
};

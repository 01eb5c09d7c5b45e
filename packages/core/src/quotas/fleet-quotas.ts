import type * as domain from '@bilberrydoor/domain';
import type {PeerReachability} from '../registry/peer-reachability.js';
import * as ports from '../ports/index.js';
import {createQuotaEntry, type QuotaEntry, type QuotaUse} from './quota-entry.js';
import {createQuotaHolder} from './quota-holder.js';
import {DEFAULT_QUOTA_OPTIONS, type QuotaOptions} from './quota-options.js';
import {createShareRanking, type RegisteredNodes} from './share-ranking.js';
import {createTopWorkspaces} from './top-workspaces.js';
import type {QuotaDecision, WorkspaceQuotas} from './workspace-quotas.js';

export type FleetQuotasParts = {
	readonly self: domain.RegisteredNode;
	readonly nodes: RegisteredNodes;
	readonly findWorkspace: (name: string) => domain.FleetWorkspace | undefined;
	/** Whether the catalogue limits the calls of any workspace. Without limits, nodes send each other nothing. */
	readonly hasLimits: () => boolean;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerReachability: Pick<PeerReachability, 'isUsable'>;
	readonly clock: ports.Clock;
	readonly random: ports.Random;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
	readonly options?: Partial<QuotaOptions>;
};

/** A workspace's limits, its use at this node, and the tokens that this node holds for all nodes. */
export type WorkspaceReport = QuotaUse & {
	readonly workspace: string;
	readonly ratePerSecond: number;
	readonly burstCount: number;
	/** Absent if this node leases no tokens of the workspace to others. */
	readonly account?: {readonly availableCount: number; readonly leasedCount: number; readonly shareCount: number};
};

/** Path at which nodes serve the report of their workspaces. */
export const WORKSPACES_PATH = '/workspaces';

/** The workspaces that are used at a node, those with the most calls first. */
export type WorkspacesReport = {readonly nodeId: string; readonly workspaces: readonly WorkspaceReport[]};

/** Limits the calls of each workspace across all nodes of the fleet. */
export type FleetQuotas = WorkspaceQuotas & {
	readonly handleLease: (request: ports.LeaseQuotaRequest) => Promise<ports.LeaseQuotaReply>;
	readonly handleClaim: (request: ports.ClaimQuotaSharesRequest) => ports.ClaimQuotaSharesReply;
	/** Changes the bound. */
	configure(options: Partial<QuotaOptions>): void;
	/** Returns unused tokens and removes idle state until the signal is aborted. */
	run(signal: AbortSignal): Promise<void>;
	/** Stops leasing tokens, since the node leaves the fleet. */
	stop(): void;
	/** The workspaces that are used at this node, those with the most calls first. */
	list(): readonly WorkspaceReport[];
};

/** Interval of the checks for idle tokens and state, and of the choice of the workspaces that metrics show by name. */
const CHECK_INTERVAL_MS = 250;
const CHECKS_PER_CLEARING = 8;

/** A check that is later than this shows that the process was paused, and that its shares may have been claimed meanwhile. */
const PAUSE_LIMIT_MS = 2000;

/** Workspaces that a report lists at most. */
const REPORT_LIMIT_COUNT = 1000;

/** Shortest time between two log lines about the refusals of a workspace, in ms. */
const REFUSAL_LOG_INTERVAL_MS = 10_000;

const ADMITTED: QuotaDecision = {isAdmitted: true};

export const createFleetQuotas = (parts: FleetQuotasParts): FleetQuotas => {
	const {self, clock, logger, metrics, findWorkspace} = parts;
	let options: QuotaOptions = {...DEFAULT_QUOTA_OPTIONS, ...parts.options};
	const readOptions = (): QuotaOptions => options;
	const ranking = createShareRanking({selfId: self.nodeId, nodes: parts.nodes, clock});
	const holder = createQuotaHolder({...parts, selfId: self.nodeId, ranking, readOptions});
	const entries = new Map<string, QuotaEntry>();
	const topWorkspaces = createTopWorkspaces();
	const lastRefusalLogs = new Map<string, number>();

	const entryOf = (name: string): QuotaEntry => {
		const entry =
			entries.get(name) ??
			createQuotaEntry({...parts, workspace: name, ranking, readOptions, leaseLocally: holder.lease});
		entries.set(name, entry);
		return entry;
	};

	const logRefusal = (workspace: domain.FleetWorkspace, entry: QuotaEntry, retryAfterMs: number): void => {
		const nowMs = clock.monotonicMs();
		if (nowMs - (lastRefusalLogs.get(workspace.name) ?? Number.NEGATIVE_INFINITY) < REFUSAL_LOG_INTERVAL_MS) {
			return;
		}

		lastRefusalLogs.set(workspace.name, nowMs);
		logger.info('quota exceeded', {
			event: ports.LogEvent.QuotaExceeded,
			workspace: workspace.name,
			ratePerSecond: workspace.ratePerSecond,
			burstCount: workspace.burstCount,
			retryAfterMs: Math.round(retryAfterMs),
			...entry.describe(),
		});
	};

	const listUses = (): ReadonlyArray<QuotaUse & {readonly workspace: string}> =>
		[...entries]
			.map(([workspace, entry]) => ({workspace, ...entry.describe()}))
			.toSorted((left, right) => right.usePerSecond - left.usePerSecond);

	const clearIdleState = (): void => {
		topWorkspaces.choose(listUses());
		holder.removeIdleAccounts();
		[...entries]
			.filter(([, entry]) => entry.isDisposable())
			.forEach(([name]) => {
				entries.delete(name);
				lastRefusalLogs.delete(name);
			});
		metrics.set(ports.GaugeName.QuotaAccounts, {}, holder.countAccounts());
		metrics.set(ports.GaugeName.QuotaSharesHeld, {}, holder.countShares());
	};

	return {
		async admit(workspace, signal) {
			if (workspace.ratePerSecond <= 0) {
				return ADMITTED;
			}

			const entry = entryOf(workspace.name);
			const decision = await entry.admit(workspace, signal);
			metrics.increment(ports.CounterName.QuotaDecisions, {
				workspace: topWorkspaces.labelOf(workspace.name),
				result: decision.isAdmitted ? 'admitted' : 'refused',
			});
			if (!decision.isAdmitted) {
				logRefusal(workspace, entry, decision.retryAfterMs);
			}

			const {ratePerSecond, burstCount} = workspace;
			return decision.isAdmitted ? decision : {...decision, usage: {ratePerSecond, burstCount, ...entry.describe()}};
		},
		handleLease: holder.lease,
		handleClaim: holder.releaseShares,
		configure(given) {
			options = {...DEFAULT_QUOTA_OPTIONS, ...given};
		},
		async run(signal) {
			let checkCount = 0;
			while (!signal.aborted) {
				const sleptAtMs = clock.monotonicMs();
				await clock.sleep(CHECK_INTERVAL_MS, signal);
				if (clock.monotonicMs() - sleptAtMs > PAUSE_LIMIT_MS) {
					logger.warn('quota shares unconfirmed', {
						event: ports.LogEvent.QuotaSharesUnconfirmed,
						pauseMs: Math.round(clock.monotonicMs() - sleptAtMs),
					});
					holder.requireConfirmation();
				}

				// Notes since when each node is known, which is what a burst at the first limit is computed from.
				ranking.generation();
				if (parts.hasLimits()) {
					void holder.claimNext();
				}

				await Promise.all([...entries.values()].map(async entry => entry.returnUnused()));
				checkCount++;
				if (checkCount % CHECKS_PER_CLEARING === 0) {
					clearIdleState();
				}
			}
		},
		stop: holder.stop,
		list: () =>
			listUses()
				.slice(0, REPORT_LIMIT_COUNT)
				.map(({workspace, ...use}) => {
					const limits = findWorkspace(workspace);
					return {
						workspace,
						ratePerSecond: limits?.ratePerSecond ?? 0,
						burstCount: limits?.burstCount ?? 0,
						...use,
						account: holder.describe(workspace),
					};
				}),
	};
};

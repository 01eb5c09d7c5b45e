import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {readPeerReply} from '../registry/peer-reply.js';
import type {PeerStanding} from '../registry/peer-standing.js';
import {buildGroupId, type Registry} from '../registry/registry.js';
import {runWithTimeout} from '../shared/run-with-timeout.js';
import type {DispatcherTable} from './dispatcher-table.js';

/** What a call asks for, without the parts that depend on where it asks. */
export type GrantWish = {/** Whether the call has a large body. */ readonly isBulk: boolean} & Omit<
	ports.AcquireGrantRequest,
	'region' | 'waitLimitMs' | 'isLastResort' | 'nodeId' | 'availabilityZone'
>;

/** A grant with the node that gave it. */
export type HeldGrant = ports.Grant & {
	readonly routeId: string;
	readonly region: string;
	readonly dispatcher: domain.RegisteredNode;
};

export type GrantAnswer = HeldGrant | ports.GrantDenial;

/** Asks dispatchers for slots and reports what became of them. */
export type GrantClient = {
	acquire(wish: GrantWish, signal: AbortSignal): Promise<GrantAnswer>;
	/** Tells the dispatchers an attempt's result. Does not wait for them. */
	report(grant: HeldGrant, result: ports.GrantResult, durationMs: number): void;
};

export type GrantClientParts = {
	readonly self: domain.RegisteredNode;
	readonly registry: Registry;
	readonly dispatchers: DispatcherTable;
	readonly peerClient: ports.FleetPeerClient;
	readonly peerStanding: PeerStanding;
	readonly clock: ports.Clock;
	readonly logger: ports.Logger;
	readonly metrics: ports.Metrics;
};

/** Nodes of a ranking that are asked and told: the dispatcher and the one that follows it when it is lost. */
const RANKING_COUNT = 2;

/** Time beyond the wait in which a dispatcher answers: a round trip between regions is 40 ms, the rest is for slow nodes. */
const DISPATCHER_SLACK_MS = 250;

/** Time in which a dispatcher takes a report. */
const REPORT_TIMEOUT_MS = 1000;

/** Shortest wait in one region before the next is asked: twice the round trip between regions. */
const SPILL_WAIT_MS = 80;

/**
 * Share of the time to its latency objective that a call waits in one region before it asks the next. The link between
 * regions is slow and paid by volume, and a short wait costs the caller nothing.
 */
const SPILL_RATIO = 0.2;

/** Share of its remaining time that a call waits for a slot; the rest is for the work. */
const WAIT_RATIO = 0.4;

type Step = {readonly region: string; readonly waitLimitMs: number; readonly isLastResort: boolean};

export const createGrantClient = (parts: GrantClientParts): GrantClient => {
	const {self, registry, dispatchers, peerStanding, metrics} = parts;
	/** Dispatcher that answered last for each group. */
	const lastDispatchers = new Map<string, string>();

	const noteDispatcher = (groupId: string, {nodeId}: domain.RegisteredNode): void => {
		const previous = lastDispatchers.get(groupId);
		if (previous === nodeId) {
			return;
		}

		lastDispatchers.set(groupId, nodeId);
		parts.logger.info('dispatcher changed', {
			event: ports.LogEvent.DispatcherChanged,
			groupId,
			dispatcher: nodeId,
			previous,
		});
	};

	const rankDispatchers = (service: string, region: string): readonly domain.RegisteredNode[] =>
		registry.rankNodes(buildGroupId(service, region), region, RANKING_COUNT);

	const askPeer = async (
		dispatcher: domain.RegisteredNode,
		request: ports.AcquireGrantRequest,
		signal: AbortSignal,
	): Promise<ports.AcquireGrantReply | undefined> => {
		const timeoutMs = request.waitLimitMs + DISPATCHER_SLACK_MS;
		const timed = await runWithTimeout({clock: parts.clock, timeoutMs, signal}, async askSignal =>
			parts.peerClient.request(dispatcher.address, ports.FleetMessageKind.AcquireGrant, request, {signal: askSignal}),
		);
		if (signal.aborted) {
			return undefined;
		}

		const reply = readPeerReply(timed);
		if (reply.isErr()) {
			peerStanding.recordFailure(dispatcher.address, reply.error.detail);
			metrics.increment(ports.CounterName.PeerMessages, {kind: ports.FleetMessageKind.AcquireGrant, result: 'failed'});
			return undefined;
		}

		peerStanding.recordSuccess(dispatcher.address);
		return reply.value;
	};

	const askRegion = async (
		{isBulk: _isBulk, ...wish}: GrantWish,
		step: Step,
		signal: AbortSignal,
	): Promise<GrantAnswer> => {
		const ranking = rankDispatchers(wish.service, step.region);
		const peers = ranking[0]?.nodeId === self.nodeId ? [] : ranking.filter(({nodeId}) => nodeId !== self.nodeId);
		const buildRequest = (askedCount: number): ports.AcquireGrantRequest => ({
			...wish,
			...step,
			isNewCall: wish.isNewCall && askedCount === 0,
			nodeId: self.nodeId,
			availabilityZone: self.availabilityZone,
		});
		const hold = (reply: ports.AcquireGrantReply, dispatcher: domain.RegisteredNode): GrantAnswer => {
			noteDispatcher(buildGroupId(wish.service, step.region), dispatcher);
			return reply.isGranted ? {...reply, routeId: wish.routeId, region: step.region, dispatcher} : reply;
		};

		for (const [index, dispatcher] of peers.entries()) {
			if (signal.aborted) {
				break;
			}

			const reply = await askPeer(dispatcher, buildRequest(index), signal);
			if (reply) {
				return hold(reply, dispatcher);
			}
		}

		const reply = await dispatchers.get(wish.service, step.region).acquire(buildRequest(peers.length), signal);
		return hold(reply, self);
	};

	/** Regions of the service, the own one first, with the time that the call may wait in each. */
	const planSteps = (wish: GrantWish): readonly Step[] => {
		const regions = registry
			.regionsOf(wish.service)
			.toSorted((left, right) => Number(right === self.region) - Number(left === self.region));
		const shortWaitMs = Math.max(SPILL_WAIT_MS, wish.objectiveLeftMs * SPILL_RATIO);
		const ownWaitMs = wish.isBulk ? Math.max(shortWaitMs, wish.remainingMs * WAIT_RATIO) : shortWaitMs;
		return regions.map((region, index) => ({
			region,
			waitLimitMs: index === 0 ? ownWaitMs : shortWaitMs,
			isLastResort: false,
		}));
	};

	const tellDispatcher = async (node: domain.RegisteredNode, request: ports.ReportResultRequest): Promise<void> => {
		if (node.nodeId === self.nodeId) {
			dispatchers.get(request.service, request.region).report(request);
			return;
		}

		// Each report has a signal of its own: one for all would collect a listener for each report under way.
		const {signal: reportSignal} = new AbortController();
		const timed = await runWithTimeout(
			{clock: parts.clock, timeoutMs: REPORT_TIMEOUT_MS, signal: reportSignal},
			async signal => parts.peerClient.request(node.address, ports.FleetMessageKind.ReportResult, request, {signal}),
		);
		if (readPeerReply(timed).isErr()) {
			// The grant expires by itself; only the evidence on the target is missing.
			metrics.increment(ports.CounterName.PeerMessages, {kind: ports.FleetMessageKind.ReportResult, result: 'failed'});
			parts.logger.debug('report lost', {
				event: ports.LogEvent.ReportLost,
				peer: node.address,
				grantId: request.grantId,
			});
		}
	};

	return {
		async acquire(wish, signal) {
			const steps = planSteps(wish);
			const furtherWish = {...wish, isNewCall: false};
			const denials: Array<{step: Step; denial: ports.GrantDenial}> = [];
			for (const step of steps) {
				if (wish.isBulk && denials.some(({denial}) => denial.refusal !== ports.GrantRefusal.NoTarget)) {
					// One large body takes the link between regions for as long as ten small calls, so it crosses only when its own
					// region has no target to wait for.
					break;
				}

				const answer = await askRegion(denials.length === 0 ? wish : furtherWish, step, signal);
				if (answer.isGranted) {
					return answer;
				}

				denials.push({step, denial: answer});
			}

			const nearest = denials.toSorted((left, right) => left.denial.predictedWaitMs - right.denial.predictedWaitMs)[0];
			if (!nearest) {
				return {isGranted: false, refusal: ports.GrantRefusal.NoTarget, predictedWaitMs: 0};
			}

			const isFinal = [ports.GrantRefusal.NoBudget, ports.GrantRefusal.TooLate].includes(nearest.denial.refusal);
			if (isFinal || signal.aborted) {
				return nearest.denial;
			}

			return askRegion(furtherWish, {region: nearest.step.region, waitLimitMs: 0, isLastResort: true}, signal);
		},
		report(grant, result, durationMs) {
			const {service} = grant.target;
			const request = {
				grantId: grant.grantId,
				nodeId: self.nodeId,
				routeId: grant.routeId,
				service,
				region: grant.region,
				targetId: grant.target.targetId,
				result,
				durationMs: Math.round(durationMs),
			};
			// The own dispatcher learns too, for the time when no other can be reached. The successor of another region's
			// dispatcher learns from the calls of its own region, which spares the link between regions a message a call.
			const successors = grant.region === self.region ? rankDispatchers(service, grant.region) : [];
			const nodes = [grant.dispatcher, ...successors, self];
			const receivers = new Map(nodes.map(node => [node.nodeId, node]));
			[...receivers.values()].forEach(node => {
				void tellDispatcher(node, request);
			});
		},
	};
};

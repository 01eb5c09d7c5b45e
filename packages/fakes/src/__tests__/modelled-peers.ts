import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import type {VirtualClock} from '../virtual-clock.js';
import type {Draws} from './draws.js';

type Handlers = {
	readonly [Kind in core.FleetMessageKind]?: (
		request: core.FleetMessages[Kind]['request'],
		signal: AbortSignal,
	) => Promise<core.FleetMessages[Kind]['reply']>;
};

/** What becomes of a message to a peer. */
enum Delivery {
	Prompt = 'prompt',
	/** The reply may arrive after the requesting node has asked another one, or after the deadline of the call. */
	Late = 'late',
	/** The message is handled, and its reply is lost. */
	ReplyLost = 'reply-lost',
	Refused = 'refused',
}

const DELIVERIES = [...Object.values(Delivery), Delivery.Prompt, Delivery.Late];
const SILENCE_MS = 60_000;
const REPLY_LIMITS_MS: Record<Delivery, number> = {
	[Delivery.Prompt]: 60,
	[Delivery.Late]: 1500,
	[Delivery.ReplyLost]: SILENCE_MS,
	[Delivery.Refused]: 60,
};

/** Peers with the given dispatchers, whose replies come late or never. */
export const createModelledPeers = (parts: {
	readonly readDispatchers: () => core.DispatcherTable;
	readonly node: VirtualClock;
	readonly draws: Draws;
}): core.FleetPeerClient => {
	const {node, draws} = parts;
	const handlers: Handlers = {
		[core.FleetMessageKind.AcquireGrant]: async (request, signal) =>
			parts.readDispatchers().get(request.service, request.region).acquire(request, signal),
		async [core.FleetMessageKind.ReportResult](request) {
			parts.readDispatchers().get(request.service, request.region).report(request);
			return {};
		},
	};
	return {
		async request(_address, kind, request, {signal}) {
			const delivery = draws.pick(DELIVERIES);
			const replyMs = delivery === Delivery.ReplyLost ? SILENCE_MS : draws.timeMs(REPLY_LIMITS_MS[delivery]);
			const isStoppable = draws.chance(0.5);
			const handle = handlers[kind];
			if (delivery === Delivery.Refused || !handle) {
				await node.sleep(replyMs, signal);
				return neverthrow.err({kind: core.PeerErrorKind.Unreachable, detail: 'modelled'});
			}

			const reply = await handle(request, signal);
			await node.sleep(replyMs, isStoppable ? signal : undefined);
			return neverthrow.ok(reply);
		},
	};
};

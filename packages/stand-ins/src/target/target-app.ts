import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as timersPromises from 'node:timers/promises';
import type * as adapters from '@bilberrydoor/adapters';
import * as nodeServerResponse from '@hono/node-server/utils/response';
import * as hono from 'hono';

/** Faults of a target. Its health endpoint reports a healthy target under all of them. */
export enum TargetFault {
	None = 'none',
	/** Answers 500 to work. */
	Errors = 'errors',
	/** Takes ten times as long. */
	Slow = 'slow',
	/** Never answers work. */
	Stall = 'stall',
	/** Closes the connection halfway through an answer. */
	Truncate = 'truncate',
	/** Answers 503 to work. */
	Shed = 'shed',
}

export type TargetAppOptions = {
	readonly targetId: string;
	/** Time that a call takes, in ms. */
	readonly serviceTimeMs: number;
	readonly fault: TargetFault;
};

export const DEFAULT_TARGET_APP_OPTIONS: TargetAppOptions = {
	targetId: 'target',
	serviceTimeMs: 10,
	fault: TargetFault.None,
};

/** Names the attempt that a request belongs to. Answers repeat it, so that a node can tell them from late ones. */
const ATTEMPT_ID_HEADER = 'bilberrydoor-attempt-id';

const SLOW_FACTOR = 10;
/** Longest delay of an answer. It is also the delay factor of a stalled target, whose answers thus take that long. */
const STALL_DELAY_MS = 3_600_000;

type TargetAnswer = {readonly status: number; readonly delayFactor: number; readonly isTruncated: boolean};

const ANSWERS: Record<TargetFault, TargetAnswer> = {
	[TargetFault.None]: {status: 200, delayFactor: 1, isTruncated: false},
	[TargetFault.Errors]: {status: 500, delayFactor: 1, isTruncated: false},
	[TargetFault.Slow]: {status: 200, delayFactor: SLOW_FACTOR, isTruncated: false},
	[TargetFault.Stall]: {status: 200, delayFactor: STALL_DELAY_MS, isTruncated: false},
	[TargetFault.Truncate]: {status: 200, delayFactor: 1, isTruncated: true},
	[TargetFault.Shed]: {status: 503, delayFactor: 0, isTruncated: false},
};

const readLengthBytes = async (incoming: http.IncomingMessage): Promise<number> => {
	let lengthBytes = 0;
	for await (const chunk of incoming) {
		lengthBytes += (chunk as Uint8Array).byteLength;
	}

	return lengthBytes;
};

/** Stand-in for a target. Counts executions by the `x-operation` header, for checks of work that must run at most once. */
export const createTargetApp = (given: Partial<TargetAppOptions> = {}): hono.Hono<adapters.NodeBindings> => {
	const options = {...DEFAULT_TARGET_APP_OPTIONS, ...given};
	const app = new hono.Hono<adapters.NodeBindings>();
	const executions = new Map<string, number>();
	let {fault} = options;
	let isLeaving = false;

	app.use(async (context, next) => {
		const attemptId = context.req.header(ATTEMPT_ID_HEADER);
		if (attemptId !== undefined) {
			context.env.outgoing.setHeader(ATTEMPT_ID_HEADER, attemptId);
		}

		await next();
	});
	app.get('/healthz', context => {
		if (isLeaving) {
			context.header('bilberrydoor-leaving', '1');
		}

		return context.json({status: 'ok'});
	});
	app.put('/fault/:fault', context => {
		fault = context.req.param('fault') as TargetFault;
		return context.json({fault});
	});
	app.put('/leaving', context => {
		isLeaving = true;
		return context.json({isLeaving});
	});
	app.get('/executions', context => context.json(Object.fromEntries(executions)));
	app.all('*', async context => {
		const {incoming} = context.env;
		const {outgoing} = context.env;
		const answer = ANSWERS[fault];
		const controller = new AbortController();
		outgoing.on('close', () => {
			controller.abort();
		});
		try {
			const receivedBytes = await readLengthBytes(incoming);
			const operation = incoming.headers['x-operation'];
			if (operation !== undefined && answer.status === 200) {
				executions.set(String(operation), (executions.get(String(operation)) ?? 0) + 1);
			}

			const delayMs = Math.min(STALL_DELAY_MS, options.serviceTimeMs * answer.delayFactor);
			await timersPromises.setTimeout(delayMs, undefined, {signal: controller.signal});
			const body = JSON.stringify({targetId: options.targetId, url: incoming.url, receivedBytes, operation});
			outgoing.writeHead(answer.status, {
				'content-type': 'application/json',
				'content-length': Buffer.byteLength(body),
			});
			if (answer.isTruncated) {
				outgoing.write(body.slice(0, body.length / 2), () => {
					outgoing.destroy();
				});
			} else {
				outgoing.end(body);
			}
		} catch {
			outgoing.destroy();
		}

		return nodeServerResponse.RESPONSE_ALREADY_SENT;
	});
	return app;
};

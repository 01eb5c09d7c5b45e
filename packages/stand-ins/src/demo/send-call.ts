import * as undici from 'undici';

/** One request of a traffic generator. */
export type TrafficCall = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly workspace: string;
	readonly body?: string;
	/** Operation id for work that runs at most once. */
	readonly operationId?: string;
	/** Value of `x-operation`, by which the target counts executions. */
	readonly operationLabel?: string;
};

/** Result of one request as its caller sees it. */
export type TrafficResult = {
	/** Value of `Bilberrydoor-Outcome`; `broken` without that header or without a complete answer. */
	readonly outcome: string;
	readonly reason: string;
	readonly status: number;
	readonly latencyMs: number;
	readonly operationId?: string;
	readonly text: string;
};

const readHeader = (headers: Record<string, string | string[] | undefined>, name: string): string =>
	String(headers[name] ?? '');

/** Sends one request to a node's front and reads the complete answer. */
export const sendCall = async (
	dispatcher: undici.Dispatcher,
	front: string,
	call: TrafficCall,
	timeoutMs: number,
): Promise<TrafficResult> => {
	const startedMs = performance.now();
	try {
		const reply = await undici.request(`http://${front}${call.path}`, {
			dispatcher,
			method: call.method,
			headers: {
				'bilberrydoor-workspace': call.workspace,
				...(call.operationId !== undefined && {'operation-id': call.operationId}),
				...(call.operationLabel !== undefined && {'x-operation': call.operationLabel}),
			},
			body: call.body,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await reply.body.text();
		return {
			outcome: readHeader(reply.headers, 'bilberrydoor-outcome') || 'broken',
			reason: readHeader(reply.headers, 'bilberrydoor-reason'),
			status: reply.statusCode,
			latencyMs: performance.now() - startedMs,
			operationId: readHeader(reply.headers, 'operation-id') || undefined,
			text,
		};
	} catch (error) {
		const latencyMs = performance.now() - startedMs;
		return {outcome: 'broken', reason: String(error), status: 0, latencyMs, text: ''};
	}
};

/** Sends work that runs at most once: the first request is refused with an operation id, and the second one submits it. */
export const sendSingleCall = async (
	dispatcher: undici.Dispatcher,
	front: string,
	call: TrafficCall,
	timeoutMs: number,
): Promise<TrafficResult> => {
	const first = await sendCall(dispatcher, front, call, timeoutMs);
	return first.status === 428 && first.operationId !== undefined
		? sendCall(dispatcher, front, {...call, operationId: first.operationId}, timeoutMs)
		: first;
};

import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import {ExitCode} from './exit-code.js';

export type NodeClientOptions = {
	/** Operations address of any node, such as `http://127.0.0.1:8082`. */
	readonly nodeUrl: string;
	readonly token: string;
	/** Longest wait for an answer, in ms. A node takes up to 10 s to report the outcome of an edit. */
	readonly timeoutMs: number;
};

export const DEFAULT_NODE_CLIENT_OPTIONS = {timeoutMs: 20_000};

/** A failed request, with an error line for the operator. */
export type ClientFailure = {readonly exitCode: ExitCode; readonly message: string};

/** Client of one node's administration API. */
export type NodeClient = {
	readonly nodeUrl: string;
	get<Reply>(path: string): Promise<neverthrow.Result<Reply, ClientFailure>>;
	/** Any reply that `accepts` recognizes is a success, whatever its HTTP status. */
	post<Reply>(
		path: string,
		body: unknown,
		accepts: (reply: unknown) => reply is Reply,
	): Promise<neverthrow.Result<Reply, ClientFailure>>;
	/** Creates a client of another node with the same token. */
	withNode(nodeUrl: string): NodeClient;
};

const EXIT_CODES_BY_STATUS: ReadonlyMap<number, ExitCode> = new Map([
	[400, ExitCode.InvalidInput],
	[401, ExitCode.Unauthorized],
	[404, ExitCode.NotFound],
	[405, ExitCode.NotFound],
	[413, ExitCode.InvalidInput],
]);

const extractErrorText = (reply: unknown): string => {
	const error = (reply as {error?: unknown} | undefined)?.error;
	return typeof error === 'string' ? error : 'no detail';
};

const parseReply = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

export const createNodeClient = (
	given: Partial<NodeClientOptions> & Omit<NodeClientOptions, 'timeoutMs'>,
): NodeClient => {
	const options: NodeClientOptions = {...DEFAULT_NODE_CLIENT_OPTIONS, ...given};

	const request = async <Reply>(
		method: 'GET' | 'POST',
		path: string,
		body: unknown,
		accepts: (reply: unknown) => reply is Reply,
	): Promise<neverthrow.Result<Reply, ClientFailure>> => {
		try {
			const response = await undici.request(options.nodeUrl + path, {
				method,
				headers: {authorization: `Bearer ${options.token}`, 'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
				signal: AbortSignal.timeout(options.timeoutMs),
			});
			const reply = parseReply(await response.body.text());
			if (accepts(reply)) {
				return neverthrow.ok(reply);
			}

			const exitCode = EXIT_CODES_BY_STATUS.get(response.statusCode) ?? ExitCode.Unreachable;
			return neverthrow.err({exitCode, message: `${extractErrorText(reply)} (status ${response.statusCode})`});
		} catch (error) {
			const message = `${options.nodeUrl} cannot be reached: ${String(error)}`;
			return neverthrow.err({exitCode: ExitCode.Unreachable, message});
		}
	};

	const isReply = <Reply>(reply: unknown): reply is Reply =>
		reply !== null && typeof reply === 'object' && !('error' in reply);

	return {
		nodeUrl: options.nodeUrl,
		get: async <Reply>(path: string) => request<Reply>('GET', path, undefined, isReply<Reply>),
		post: async (path, body, accepts) => request('POST', path, body, accepts),
		withNode: nodeUrl => createNodeClient({...options, nodeUrl}),
	};
};

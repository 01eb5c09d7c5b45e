import * as neverthrow from 'neverthrow';
import * as undici from 'undici';

export type NodeClientOptions = {
	/** Operations address of any node, such as `http://127.0.0.1:8082`. */
	readonly nodeUrl: string;
	readonly token: string;
};

/** Talks to the administration API of one node. Errors are lines for the operator. */
export type NodeClient = {
	get(path: string): Promise<neverthrow.Result<unknown, string>>;
	post(path: string, body: unknown): Promise<neverthrow.Result<unknown, string>>;
};

export const createNodeClient = (options: NodeClientOptions): NodeClient => {
	const request = async (
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	): Promise<neverthrow.Result<unknown, string>> => {
		try {
			const response = await undici.request(options.nodeUrl + path, {
				method,
				headers: {authorization: `Bearer ${options.token}`, 'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
			});
			const reply = (await response.body.json()) as {error?: string};
			return response.statusCode < 400
				? neverthrow.ok(reply)
				: neverthrow.err(`${method} ${path}: status ${response.statusCode}: ${reply.error ?? 'no detail'}`);
		} catch (error) {
			return neverthrow.err(`${options.nodeUrl} cannot be reached: ${String(error)}`);
		}
	};

	return {
		get: async path => request('GET', path),
		post: async (path, body) => request('POST', path, body),
	};
};

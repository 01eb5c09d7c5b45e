import type * as http from 'node:http';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import * as headers from '../http/headers.js';

const METHODS = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']);
const WORKSPACE_PATTERN = /^[\w.-]{1,64}$/;
const DEADLINE_PATTERN = /^\d{1,9}$/;
const DEFAULT_WORKSPACE = 'default';

/** Checks the value of the workspace header, and returns the default workspace when the header is absent. */
export const parseWorkspace = (value: string | undefined): neverthrow.Result<string, string> => {
	const workspace = value ?? DEFAULT_WORKSPACE;
	return WORKSPACE_PATTERN.test(workspace)
		? neverthrow.ok(workspace)
		: neverthrow.err('Bilberrydoor-Workspace must be 1 to 64 letters, digits, dots, hyphens or underscores');
};

const readBody = (incoming: http.IncomingMessage): Pick<domain.CallRequest, 'body' | 'bodyLengthBytes'> => {
	const declared = incoming.headers['content-length'];
	const isChunked = incoming.headers['transfer-encoding'] !== undefined;
	const bodyLengthBytes = declared === undefined ? undefined : Number(declared);
	return isChunked || (bodyLengthBytes ?? 0) > 0 ? {body: incoming, bodyLengthBytes} : {};
};

/** Reads a caller's HTTP request, or returns a description of what is wrong with it. */
export const readCallRequest = (
	incoming: http.IncomingMessage,
	callId: string,
): neverthrow.Result<domain.CallRequest, string> => {
	const method = incoming.method ?? '';
	if (!METHODS.has(method)) {
		return neverthrow.err(`method ${method} is not supported; use one of ${[...METHODS].join(', ')}`);
	}

	const [path = '', ...queryParts] = (incoming.url ?? '').split('?');
	const isUnsafePath = !path.startsWith('/') || path.split('/').some(segment => /^(?:\.|%2e){1,2}$/i.test(segment));
	if (isUnsafePath) {
		return neverthrow.err(`path ${path} must start with / and have no . or .. segments`);
	}

	const headerList = headers.pairRawHeaders(incoming.rawHeaders);
	const workspace = parseWorkspace(headers.findHeader(headerList, 'bilberrydoor-workspace'));
	if (workspace.isErr()) {
		return neverthrow.err(workspace.error);
	}

	const deadline = headers.findHeader(headerList, 'bilberrydoor-deadline-ms');
	if (deadline !== undefined && !DEADLINE_PATTERN.test(deadline)) {
		return neverthrow.err(`Bilberrydoor-Deadline-Ms must be a whole number of milliseconds, got "${deadline}"`);
	}

	return neverthrow.ok({
		callId,
		method,
		path,
		query: queryParts.length > 0 ? `?${queryParts.join('?')}` : '',
		headers: headers
			.selectForwardableHeaders(headerList)
			.filter(([name]) => name !== 'host' && name !== 'content-length' && name !== 'operation-id'),
		workspace: workspace.value,
		...readBody(incoming),
		deadlineMs: deadline === undefined ? undefined : Number(deadline),
		operationId: headers.findHeader(headerList, 'operation-id'),
		idempotencyKey: headers.findHeader(headerList, 'idempotency-key'),
	});
};

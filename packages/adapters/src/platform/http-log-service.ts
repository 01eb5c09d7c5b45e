import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import * as zod from 'zod';
import {isConnectError} from '../http/connect-error.js';
import {catalogueRecordSchema} from '../settings/catalogue-record-schema.js';

export type HttpLogServiceOptions = {
	/** Base address of the log service, such as `http://127.0.0.1:7000`. */
	readonly url: string;
	/** Stream that holds the catalogue. */
	readonly stream: string;
	/** Longest wait for an answer in addition to the `waitMs` of a read, in ms. */
	readonly timeoutMs: number;
};

export const DEFAULT_HTTP_LOG_SERVICE_OPTIONS = {stream: 'catalogue', timeoutMs: 3000};

const readReplySchema = zod.object({
	firstOffset: zod.number().int(),
	endOffset: zod.number().int(),
	records: zod.array(zod.object({offset: zod.number().int(), value: zod.unknown()})),
});

const appendReplySchema = zod.object({offset: zod.number().int()});

/** Client of the platform's append-only log service. */
export const createHttpLogService = (
	given: Partial<HttpLogServiceOptions> & Pick<HttpLogServiceOptions, 'url'>,
): core.LogService => {
	const options: HttpLogServiceOptions = {...DEFAULT_HTTP_LOG_SERVICE_OPTIONS, ...given};
	const recordsUrl = `${options.url}/streams/${options.stream}/records`;

	const addTimeout = (waitMs: number, signal: AbortSignal | undefined): AbortSignal => {
		const timeout = AbortSignal.timeout(waitMs + options.timeoutMs);
		return signal ? AbortSignal.any([signal, timeout]) : timeout;
	};

	return {
		async append(record, signal) {
			try {
				const reply = await undici.request(recordsUrl, {
					method: 'POST',
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(record),
					signal: addTimeout(0, signal),
				});
				const parsed = appendReplySchema.safeParse(await reply.body.json());
				if (reply.statusCode === 201 && parsed.success) {
					return neverthrow.ok(parsed.data.offset);
				}

				const kind = reply.statusCode === 503 ? core.LogErrorKind.Unavailable : core.LogErrorKind.Uncertain;
				return neverthrow.err({kind, detail: `append was answered with status ${reply.statusCode}`});
			} catch (error) {
				const kind = isConnectError(error) ? core.LogErrorKind.Unavailable : core.LogErrorKind.Uncertain;
				return neverthrow.err({kind, detail: String(error)});
			}
		},
		async read({fromOffset, limitCount, waitMs}, signal) {
			try {
				const query = new URLSearchParams({
					from: String(fromOffset),
					limit: String(limitCount),
					waitMs: String(waitMs),
				});
				const reply = await undici.request(`${recordsUrl}?${query.toString()}`, {
					signal: addTimeout(waitMs, signal),
				});
				const body: unknown = await reply.body.json();
				const parsed = readReplySchema.safeParse(body);
				if (reply.statusCode === 410 && parsed.success) {
					return neverthrow.err({
						kind: core.LogErrorKind.Truncated,
						detail: `records before offset ${parsed.data.firstOffset} have expired`,
						firstOffset: parsed.data.firstOffset,
					});
				}

				if (reply.statusCode !== 200 || !parsed.success) {
					const detail = `read was answered with status ${reply.statusCode}`;
					return neverthrow.err({kind: core.LogErrorKind.Unavailable, detail});
				}

				// Every node skips the same records that do not match the schema, so validation stays deterministic.
				const records = parsed.data.records.flatMap(({offset, value}) => {
					const record = catalogueRecordSchema.safeParse(value);
					return record.success ? [{offset, record: record.data}] : [];
				});
				const lastOffset = parsed.data.records.at(-1)?.offset;
				return neverthrow.ok({
					records,
					firstOffset: parsed.data.firstOffset,
					endOffset: parsed.data.endOffset,
					nextOffset: lastOffset === undefined ? Math.max(fromOffset, parsed.data.firstOffset) : lastOffset + 1,
				});
			} catch (error) {
				return neverthrow.err({kind: core.LogErrorKind.Unavailable, detail: String(error)});
			}
		},
	};
};

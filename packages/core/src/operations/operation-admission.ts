import * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import {ROUTE_MISS_REASONS} from '../entry/entry-service.js';
import type {RouteTable} from '../routing/route-table.js';
import type {RecordTable} from './record-table.js';

/** One submission of an operation. */
export type Submission = {
	readonly identity: domain.OperationIdentity;
	readonly call: domain.CallRequest;
	/** Time left until the caller's deadline, in ms. */
	readonly remainingMs: number;
};

/**
 * Refuses an operation because the record table is full. The ending is `not-run` only if the id could be marked as
 * refused. Without the mark a later submission could start the work.
 */
export const refuseWithoutRecord = (table: RecordTable, identity: domain.OperationIdentity): domain.CallEnding => {
	const detail = 'the executor holds too many operations';
	return table.markRefused(identity.serial, identity.expiresAtMs)
		? domain.notRun(domain.RefusalReason.OperationRecordsFull, detail, {retryAfterMs: 1000})
		: domain.unknown(domain.RefusalReason.OperationRecordsFull, detail);
};

/** Refusal of an operation that has no record; undefined when it may start. */
export const findStartRefusal = (options: {
	table: RecordTable;
	identity: domain.OperationIdentity;
	nowMs: number;
	isSealed: boolean;
}): domain.CallEnding | undefined => {
	const {table, identity, nowMs, isSealed} = options;
	if (table.isMarkedRefused(identity.serial)) {
		return domain.notRun(domain.RefusalReason.OperationRecordsFull, 'the executor held too many operations');
	}

	if (table.mayHaveDroppedRecord(identity.service, identity.expiresAtMs)) {
		const detail = 'the operation id expired so long ago that its record may have been dropped';
		return domain.unknown(domain.RefusalReason.OperationExpired, detail);
	}

	if (nowMs >= identity.expiresAtMs) {
		const detail = 'the operation id expired before the work was submitted; it never starts';
		return domain.notRun(domain.RefusalReason.OperationExpired, detail);
	}

	return isSealed
		? domain.notRun(domain.RefusalReason.OperationSealed, 'the executor is stopping and starts no new operation')
		: undefined;
};

/** Checks that a request can be executed as an operation. A refusal is final for the operation id. */
export const admitRequest = (
	found: ReturnType<RouteTable['findRoute']>,
	entry: domain.CatalogueEntry | undefined,
	body: Uint8Array,
): neverthrow.Result<{entry: domain.CatalogueEntry; route: domain.RouteEntry}, domain.NotRunEnding> => {
	if (found.isErr()) {
		return neverthrow.err(domain.notRun(ROUTE_MISS_REASONS[found.error], 'no route accepts the request'));
	}

	if (!entry) {
		return neverthrow.err(domain.notRun(domain.RefusalReason.NoTarget, 'the service has no entry any more'));
	}

	const {route} = found.value;
	const limitBytes = route.requestBodyLimitBytes;
	const detail = `the body has ${body.byteLength} bytes; the route accepts at most ${limitBytes}`;
	return body.byteLength > limitBytes
		? neverthrow.err(domain.notRun(domain.RefusalReason.BodyTooLarge, detail))
		: neverthrow.ok({entry, route});
};

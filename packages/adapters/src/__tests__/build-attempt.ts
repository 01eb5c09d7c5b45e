import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import type {WireDialect} from '../http/wire-dialect.js';

export const DIALECT: WireDialect = {
	requestIdHeader: 'x-request-id',
	remainingMsHeader: 'x-remaining-ms',
	expectedTargetHeader: 'x-expected-target',
	workspaceHeader: 'x-workspace',
	notRunHeader: 'x-not-run',
	signatureHeader: 'x-signature',
	leavingHeader: 'x-leaving',
	leavingValue: 'yes',
};

/** Builds an attempt at a target without a body, with defaults for tests. */
export const buildAttempt = (address: string, requestId: string): core.FleetAttempt => ({
	call: {
		requestId,
		host: 'malipo.example',
		method: 'GET',
		pathAndQuery: '/',
		headers: [],
		body: undefined,
		bodyLengthBytes: undefined,
		deadlineMs: 1000,
		receivedAtMs: 0,
	},
	target: {
		targetId: 'target',
		startedAtMs: 0,
		service: 'malipo',
		address,
		region: 'pwani',
		availabilityZone: 'kinondoni',
		slotCount: 4,
		readiness: domain.TargetReadiness.Ready,
		warmUpLeftMs: 0,
	},
	remainingMs: 1000,
	connectionLimit: 1,
	needsNewConnection: false,
});

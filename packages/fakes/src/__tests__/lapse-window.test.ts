import * as core from '@bilberrydoor/core';
import test from 'ava';

const TARGET_HEARTBEAT_MS = 1500;

/** End of the answers before the pause, and the first one after it. */
const LAST_ANSWER_AT_MS = 10_000;
const NEXT_ANSWER_AT_MS = 14_500;

/** Time after an outage within which the platform renews registrations. */
const RENEWAL_LIMIT_MS = 2000;

type EvidenceCase = {
	readonly name: string;
	/** What another node knows of the store's answers. */
	readonly evidence: core.AnswerRun;
	readonly isOutage: boolean;
};

const CASES: readonly EvidenceCase[] = [
	{
		name: 'of a node that the store answered all the time',
		evidence: {startedAtMs: 0, endedAtMs: NEXT_ANSWER_AT_MS - 300},
		isOutage: false,
	},
	{
		name: 'of a node that started in the pause',
		evidence: {startedAtMs: NEXT_ANSWER_AT_MS - 2700, endedAtMs: NEXT_ANSWER_AT_MS},
		isOutage: false,
	},
	{
		name: 'of a node that saw the same pause and read the store a little earlier',
		evidence: {startedAtMs: NEXT_ANSWER_AT_MS - 800, endedAtMs: NEXT_ANSWER_AT_MS},
		isOutage: true,
	},
	{
		name: 'of a node that saw the same pause and has not read the store yet',
		evidence: {startedAtMs: 0, endedAtMs: LAST_ANSWER_AT_MS + 300},
		isOutage: true,
	},
];

// Guards against a node's own pause that counts as an outage, and against an outage that counts as a node's own pause.
CASES.forEach(({name, evidence, isOutage}) => {
	test(`the evidence ${name} ${isOutage ? 'leaves time for renewals' : 'shows that there was no outage'}`, t => {
		const window = core.createLapseWindow(() => TARGET_HEARTBEAT_MS);
		window.recordRun({startedAtMs: 0, endedAtMs: LAST_ANSWER_AT_MS});
		const answer = {startedAtMs: NEXT_ANSWER_AT_MS, endedAtMs: NEXT_ANSWER_AT_MS};
		t.is(window.recordRun(answer)?.pauseMs, NEXT_ANSWER_AT_MS - LAST_ANSWER_AT_MS);
		window.recordRun(evidence);
		t.is(window.endsAtMs() >= NEXT_ANSWER_AT_MS + RENEWAL_LIMIT_MS, isOutage);
		t.is(window.endsAtMs() > NEXT_ANSWER_AT_MS, isOutage);
	});
});

import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {answerWith, createCallProxyHarness, failWith} from './call-proxy-harness.js';

const SECOND_ATTEMPTS = [
	{
		name: 'at the address that refused the first one',
		steps: [answerWith(core.AnswerMeaning.Replaced, 421)],
		isNew: true,
	},
	{
		name: 'at another address',
		steps: [answerWith(core.AnswerMeaning.Replaced, 421)],
		buildAddress: (targetId: string) => `${targetId}:1`,
		isNew: false,
	},
	{
		name: 'at the address to which the first one was not sent',
		steps: [failWith(core.AttemptErrorKind.Unreachable)],
		isNew: false,
	},
];

// Guards against an attempt that counts as refused while it runs, because a late copy of the answer to the first attempt carries the
// same request id.
SECOND_ATTEMPTS.forEach(({name, steps, buildAddress, isNew}) => {
	test(`a second attempt ${name} ${isNew ? 'needs a new connection' : 'may use any connection'}`, async t => {
		const harness = createCallProxyHarness({steps, buildAddress});
		harness.publish(1);
		t.is((await harness.call()).outcome, domain.ProxyOutcome.Answered);
		t.deepEqual(
			harness.sent.map(({needsNewConnection}) => needsNewConnection),
			[false, isNew],
		);
	});
});

import test from 'ava';
import {DEFAULT_HEALTH_OPTIONS} from '../health-options.js';
import {createSequentialTest} from '../sequential-test.js';

const {ejectEvidence, suspectEvidence, evidenceLimit} = DEFAULT_HEALTH_OPTIONS;

const countUntilEjection = (typicalBadRatio: number, results: readonly boolean[]): number => {
	const sequentialTest = createSequentialTest({evidenceLimit});
	return results.findIndex(isBad => {
		sequentialTest.observe(isBad, typicalBadRatio);
		return sequentialTest.evidence() >= ejectEvidence;
	});
};

// Guards against a return to fixed windows: a clear fault must be detected within a few results, and sparse errors must
// never lead to an ejection.
const RESULTS = [
	{name: 'all bad', typicalBadRatio: 0, results: Array.from({length: 10}, () => true), expectedIndex: 4},
	{
		name: 'every second bad',
		typicalBadRatio: 0,
		results: Array.from({length: 40}, (_, index) => index % 2 === 0),
		expectedIndex: 10,
	},
	{
		name: 'one in ten bad',
		typicalBadRatio: 0,
		results: Array.from({length: 10_000}, (_, index) => index % 10 === 0),
		expectedIndex: -1,
	},
	{
		name: 'half bad in a group where half is normal',
		typicalBadRatio: 0.5,
		results: Array.from({length: 10_000}, (_, index) => index % 2 === 0),
		expectedIndex: -1,
	},
];

RESULTS.forEach(({name, typicalBadRatio, results, expectedIndex}) => {
	test(`results with ${name} reach the ejection threshold at the expected index`, t => {
		t.is(countUntilEjection(typicalBadRatio, results), expectedIndex);
	});
});

// Guards against a long run of good results that delays detection, and against evidence that never returns to zero.
test('a thousand good results do not delay an ejection, and a thousand bad ones do not delay recovery', t => {
	const sequentialTest = createSequentialTest({evidenceLimit});
	const observe = (count: number, isBad: boolean): number => {
		Array.from({length: count}).forEach(() => {
			sequentialTest.observe(isBad, 0);
		});
		return sequentialTest.evidence();
	};

	t.is(observe(1000, false), 0);
	t.true(observe(2, true) >= suspectEvidence);
	t.true(observe(3, true) >= ejectEvidence);
	t.is(observe(1000, true), evidenceLimit);
	t.is(observe(45, false), 0);
});

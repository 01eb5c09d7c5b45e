import process from 'node:process';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {searchRefusals, type SearchedCall} from './search-refusals.js';

const FIRST_SEED = 20_261_206;
/** More seeds by hand: `REFUSAL_SEEDS=20000`. */
const SEED_COUNT = Number(process.env.REFUSAL_SEEDS ?? 400);

const {Refused, Answered, Failed, Abandoned} = domain.ProxyOutcome;

type Violation = (call: SearchedCall) => boolean;

const VIOLATIONS: Record<string, Violation> = {
	'refused, and run': ({outcome, ranAtMs}) => outcome === Refused && ranAtMs.length > 0,
	'refused, with an attempt under way': ({outcome, wasUnderWay}) => outcome === Refused && wasUnderWay,
	'run twice': ({isSingle, ranAtMs}) => isSingle && ranAtMs.length > 1,
};

/** Situations that the search has to reach, so that it cannot pass without having looked. */
const SITUATIONS: Record<string, (call: SearchedCall) => boolean> = {
	'refused before any attempt': ({outcome, attemptCount}) => outcome === Refused && attemptCount === 0,
	'refused after an attempt': ({outcome, attemptCount}) => outcome === Refused && attemptCount > 0,
	'refused at the deadline': ({reason, outcome}) =>
		outcome === Refused && reason === domain.RefusalReason.DeadlineExceeded,
	'refused at the deadline after an attempt': ({reason, outcome, attemptCount}) =>
		outcome === Refused && reason === domain.RefusalReason.DeadlineExceeded && attemptCount > 0,
	'refused by a stop': ({reason, outcome}) => outcome === Refused && reason === domain.RefusalReason.Draining,
	'answered after an attempt that did not run': ({outcome, attemptCount, ranAtMs}) =>
		outcome === Answered && attemptCount > ranAtMs.length,
	'failed with an attempt under way': ({outcome, wasUnderWay}) => outcome === Failed && wasUnderWay,
	'failed, and run later': ({outcome, ranAtMs, endedAtMs}) =>
		outcome === Failed && ranAtMs.some(atMs => atMs > endedAtMs),
	'abandoned, and run': ({outcome, ranAtMs}) => outcome === Abandoned && ranAtMs.length > 0,
	'repeatable work run twice': ({isSingle, ranAtMs}) => !isSingle && ranAtMs.length > 1,
};

// Guards against a call that is refused with the promise "not run" while an attempt at it is under way or starts later: at its
// deadline, during a stop, with a grant that arrives late, or after a pause of the node.
test('a call that the node refuses has not run and never will, under random schedules', async t => {
	const counts = new Map(Object.keys(SITUATIONS).map(name => [name, 0]));
	const found: string[] = [];
	for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
		const calls = await searchRefusals(seed);
		Object.entries(VIOLATIONS).forEach(([name, isViolation]) => {
			calls
				.filter(call => isViolation(call))
				.forEach(call => {
					found.push(`seed ${seed}: ${name}: ${JSON.stringify(call)}`);
				});
		});
		Object.entries(SITUATIONS).forEach(([name, isReached]) => {
			counts.set(name, counts.get(name)! + calls.filter(call => isReached(call)).length);
		});
	}

	t.log(`${SEED_COUNT} seeds: ${[...counts].map(([name, count]) => `${name} ${count}`).join(', ')}`);
	t.deepEqual(found, []);
	t.deepEqual(
		[...counts].filter(([, count]) => count === 0).map(([name]) => name),
		[],
		'situations that were not reached',
	);
});

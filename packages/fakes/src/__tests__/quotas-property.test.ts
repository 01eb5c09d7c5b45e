import process from 'node:process';
import test from 'ava';
import {QuotaVariant} from '../quota-fleet.js';
import {searchQuotas, searchVariant} from './search-quotas.js';

/** Set `QUOTA_SEEDS` to search more seeds by hand, and `QUOTA_FIRST_SEED` to repeat one. */
const SEED_COUNT = Number(process.env.QUOTA_SEEDS ?? 6);
const FIRST_SEED = Number(process.env.QUOTA_FIRST_SEED ?? 1);

Array.from({length: SEED_COUNT}, (_, index) => FIRST_SEED + index).forEach(seed => {
	test(`all nodes together admit no more calls than the bound, with faults, bursts and floods (seed ${seed})`, async t => {
		const {worstRatio, events} = await searchQuotas(seed);
		t.true(worstRatio <= 1, `${worstRatio} times the bound after ${events.join('; ')}`);
		// A search in which hardly any call is admitted would find nothing.
		t.true(worstRatio > 0.3);
	});
});

test('the search finds leases that do not expire', async t => {
	t.true((await searchVariant(1, QuotaVariant.Product)) <= 1);
	t.true((await searchVariant(1, QuotaVariant.EndlessLeases)) > 1);
});

import test from 'ava';
import * as fc from 'fast-check';
import {createLeasedTokens} from '../leased-tokens.js';
import {DEFAULT_QUOTA_OPTIONS} from '../quota-options.js';
import {createShareAccount, type LeaseDemand} from '../share-account.js';
import {planShares} from '../share-plan.js';

const OPTIONS = DEFAULT_QUOTA_OPTIONS;
const PLAN = {shareCount: 16, ratePerSecond: 10, limitCount: 20};
const HELD_LONG = new Map([[0, -100_000]]);

const buildDemand = (given: Partial<LeaseDemand>): LeaseDemand => ({
	entryId: 'entry',
	sequence: 0,
	wantedCount: 0,
	isImmediate: false,
	unusedCount: 0,
	returnedCount: 0,
	...given,
});

// Guards against a burst that is lost when a workspace is idle before its first call.
test('an account that has been held for long starts full, and a new one empty', t => {
	const old = createShareAccount(OPTIONS);
	old.update(PLAN, HELD_LONG, 0);
	t.is(old.lease(buildDemand({wantedCount: 100, isImmediate: true}), 0).grantedCount, 20);
	const fresh = createShareAccount(OPTIONS);
	fresh.update(PLAN, new Map([[0, 0]]), 0);
	t.is(fresh.lease(buildDemand({wantedCount: 100, isImmediate: true}), 0).grantedCount, 0);
	fresh.update(PLAN, new Map([[0, 0]]), 1000);
	t.is(fresh.lease(buildDemand({wantedCount: 100, isImmediate: true}), 1000).grantedCount, 10);
});

// Guards against a second burst from the same share after its confirmation was lost for a moment.
test('a share that is lost and held again does not fill at once', t => {
	const account = createShareAccount(OPTIONS);
	account.update(PLAN, HELD_LONG, 0);
	t.is(account.lease(buildDemand({wantedCount: 20, isImmediate: true}), 0).grantedCount, 20);
	account.update(PLAN, new Map(), 500);
	t.false(account.isDisposable());
	account.update(PLAN, HELD_LONG, 600);
	t.is(account.lease(buildDemand({wantedCount: 20, isImmediate: true}), 600).grantedCount, 1);
});

// Guards against leases ahead of need that take all tokens, while calls at other nodes wait for one.
test('a lease ahead of need leaves half of the tokens to calls that wait', t => {
	const account = createShareAccount(OPTIONS);
	account.update(PLAN, HELD_LONG, 0);
	t.is(account.lease(buildDemand({wantedCount: 20}), 0).grantedCount, 10);
	t.is(account.lease(buildDemand({entryId: 'other', wantedCount: 20, isImmediate: true}), 0).grantedCount, 10);
});

// Guards against reports that overtake each other: the older one must not free tokens that are held.
test('a demand that arrives after a later one changes nothing', t => {
	const account = createShareAccount(OPTIONS);
	account.update(PLAN, HELD_LONG, 0);
	account.lease(buildDemand({sequence: 2, wantedCount: 15}), 0);
	t.deepEqual(account.lease(buildDemand({sequence: 1, wantedCount: 5, returnedCount: 15}), 0), {
		grantedCount: 0,
		isRenewed: false,
		nextTokenMs: 0,
	});
	t.is(account.describe().leasedCount, 10);
});

/** Steps of two entry nodes that lease, use, return or lose tokens. */
const stepArbitrary = fc.record({
	entry: fc.integer({min: 0, max: 1}),
	waitMs: fc.integer({min: 0, max: 400}),
	wantedCount: fc.integer({min: 0, max: 30}),
	usedCount: fc.integer({min: 0, max: 30}),
	isReturn: fc.boolean(),
	isReplyLost: fc.boolean(),
	isImmediate: fc.boolean(),
});

const WINDOW_MS = 2000;

// Guards against leases, returns, renewals and lost replies that together allow more than limit and rate.
test('the calls of any window stay within the limit and the tokens of the window', t => {
	fc.assert(
		fc.property(fc.array(stepArbitrary, {minLength: 20, maxLength: 200}), steps => {
			const account = createShareAccount(OPTIONS);
			const tokensByEntry = [createLeasedTokens(), createLeasedTokens()];
			const usedAtMs: number[] = [];
			let nowMs = 0;
			steps.forEach((step, sequence) => {
				nowMs += step.waitMs;
				const leasedTokens = tokensByEntry[step.entry]!;
				const returnedCount = step.isReturn && !step.isImmediate ? leasedTokens.removeAll('holder', nowMs) : 0;
				const unusedCount = step.isImmediate ? 0 : leasedTokens.countOf('holder', nowMs);
				const {wantedCount, isImmediate} = step;
				const entryId = `entry-${step.entry}`;
				account.update(PLAN, HELD_LONG, nowMs);
				const {grantedCount, isRenewed} = account.lease(
					{entryId, sequence, wantedCount, isImmediate, unusedCount, returnedCount},
					nowMs,
				);
				if (isRenewed && !step.isReplyLost) {
					const lifetimeMs = isImmediate ? OPTIONS.immediateLeaseMs : OPTIONS.leaseMs;
					leasedTokens.add(isImmediate ? 'holder!' : 'holder', grantedCount, nowMs + lifetimeMs, nowMs);
				}

				Array.from({length: step.usedCount}, () => leasedTokens.take(nowMs))
					.filter(holderId => holderId !== undefined)
					.forEach(() => {
						usedAtMs.push(nowMs);
					});
			});
			const limitCount = PLAN.limitCount + (PLAN.ratePerSecond * WINDOW_MS) / 1000;
			return usedAtMs.every(
				startMs => usedAtMs.filter(atMs => atMs >= startMs && atMs <= startMs + WINDOW_MS).length <= limitCount,
			);
		}),
		{seed: 1, numRuns: 300},
	);
	t.pass();
});

// Guards against a division that exceeds the bound, or that leaves no share a whole token.
test('all shares together, with one of them held twice, stay within the bound', t => {
	[
		{ratePerSecond: 240, burstCount: 240},
		{ratePerSecond: 1, burstCount: 0},
		{ratePerSecond: 0.1, burstCount: 1},
		{ratePerSecond: 5000, burstCount: 10},
	].forEach(limits => {
		const {shareCount, ratePerSecond, limitCount} = planShares(limits, OPTIONS);
		const boundCount = (limits.ratePerSecond * 5 + limits.burstCount) * 1.1 + 20;
		t.true((shareCount + 1) * (limitCount + ratePerSecond * 5) <= boundCount + 0.001);
		t.true(limitCount >= 1);
		t.true(Math.abs(shareCount * ratePerSecond - limits.ratePerSecond) < 0.001);
	});
	const narrow = planShares({ratePerSecond: 10, burstCount: 2}, {...OPTIONS, overrunRatio: 0, slackCount: 1});
	t.deepEqual([narrow.shareCount, narrow.limitCount], [3, 1]);
});

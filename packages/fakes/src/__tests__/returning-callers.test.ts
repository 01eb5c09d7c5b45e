import test from 'ava';
import {
	INDEPENDENT_RETURNS,
	SCHEDULED_RETURNS,
	simulateReturningCallers,
	type OverloadedCalls,
} from './returning-callers-bench.js';

const GROUP = {targetCount: 10, slotCount: 4, workMs: 250};
const LOOKUPS = {...GROUP, objectiveMs: 1211, deadlineMs: 2517};

type Case = {
	readonly name: string;
	readonly load: OverloadedCalls;
	/** Part of the calls that must be served within their objective. */
	readonly inTimeRatio: number;
};

const CASES: readonly Case[] = [
	{name: 'lookups at 1.2 times the capacity', load: {...LOOKUPS, callsPerSecond: () => 192}, inTimeRatio: 0.78},
	{name: 'lookups at 1.5 times the capacity', load: {...LOOKUPS, callsPerSecond: () => 240}, inTimeRatio: 0.62},
	{
		name: 'exports at 1.5 times the capacity',
		load: {...GROUP, objectiveMs: 810, deadlineMs: 2024, callsPerSecond: () => 240},
		inTimeRatio: 0.58,
	},
	{
		name: 'lookups with a burst of 2.5 times the capacity for a second of each four',
		load: {...LOOKUPS, callsPerSecond: atMs => (atMs % 4000 < 1000 ? 400 : 90)},
		inTimeRatio: 0.75,
	},
];

// Guards against times to retry that bring refused callers back together, or before there is room for them: they are refused
// again and again, and those that get in hold back the others until all miss their objective.
CASES.forEach(({name, load, inTimeRatio}) => {
	test(`refused callers come back when there is room: ${name}`, async t => {
		const scheduled = await simulateReturningCallers(load, SCHEDULED_RETURNS, 1);
		const independent = await simulateReturningCallers(load, INDEPENDENT_RETURNS, 1);
		t.log(`scheduled ${JSON.stringify(scheduled)}`);
		t.log(`independent ${JSON.stringify(independent)}`);
		t.true(scheduled.inTime >= inTimeRatio * scheduled.calls, `${scheduled.inTime} of ${scheduled.calls} in time`);
		t.true(scheduled.inTime / scheduled.calls >= independent.inTime / independent.calls);
		t.true(scheduled.visits <= 0.6 * independent.visits, `${scheduled.visits} and ${independent.visits} visits`);
	});
});

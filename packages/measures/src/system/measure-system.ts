import * as timersPromises from 'node:timers/promises';
import * as fakes from '@bilberrydoor/fakes';
import * as standIns from '@bilberrydoor/stand-ins';
import * as undici from 'undici';
import {calculateQuantile} from '../load/statistics.js';
import type {Measure} from '../measure.js';
import {listSystemTargets, publishSystemCatalogue} from './system-catalogue.js';
import {type FaultReport, runSystemFaults} from './system-faults.js';
import {type SystemCall, sendSystemTraffic} from './system-traffic.js';
import {createSystemWatch} from './system-watch.js';

const PLACES = [
	{region: 'pwani', availabilityZone: 'kinondoni'},
	{region: 'pwani', availabilityZone: 'temeke'},
	{region: 'bara', availabilityZone: 'dodoma-kati'},
	{region: 'bara', availabilityZone: 'morogoro'},
	{region: 'dakar', availabilityZone: 'dakar-plateau'},
	{region: 'dakar', availabilityZone: 'dakar-yoff'},
	{region: 'thies', availabilityZone: 'thies-centre'},
	{region: 'thies', availabilityZone: 'mbour'},
];
const WORKER_COUNT = 20;
const TRAFFIC_MS = 25_000;

const readExecutions = async (fleet: standIns.LaunchedFleet): Promise<Map<string, number>> => {
	const tables = await Promise.all(
		fleet.targets.map(async target => {
			const reply = await undici.request(`http://${target.address}/executions`);
			return (await reply.body.json()) as Record<string, number>;
		}),
	);
	const sums = new Map<string, number>();
	tables
		.flatMap(table => Object.entries(table))
		.forEach(([label, count]) => {
			sums.set(label, (sums.get(label) ?? 0) + count);
		});
	return sums;
};

const isWrongAnswer = ({label, path, result}: SystemCall): boolean => {
	if (result.outcome !== 'completed' || result.status !== 200) {
		return false;
	}

	const answer = JSON.parse(result.text) as {url?: string; operation?: string};
	return answer.url !== path || answer.operation !== label;
};

const SINGLE_PATHS = new Set(['/malipo/clearances', '/impression/orders']);

/** Calls that broke off at the node of the planned stop, plus one when its process did not exit with 0. */
const countCallsCutByPlannedStop = (calls: readonly SystemCall[], report: FaultReport): number =>
	calls.filter(
		call =>
			call.front === report.plannedStopFront &&
			call.startedAtMs < report.plannedStopEndedAtMs &&
			call.result.outcome === 'broken',
	).length + (report.plannedStopExitCode === 0 ? 0 : 1);

const summarize = (calls: readonly SystemCall[], executions: ReadonlyMap<string, number>, report: FaultReport) => {
	const count = (isCounted: (call: SystemCall) => boolean): number => calls.filter(isCounted).length;
	const single = calls.filter(call => SINGLE_PATHS.has(call.path));
	return {
		calls: calls.length,
		completed: count(call => call.result.outcome === 'completed'),
		notRun: count(call => call.result.outcome === 'not-run'),
		// After a broken transfer the ending is unknown to the caller.
		unknown: count(call => call.result.outcome === 'unknown' || call.result.outcome === 'broken'),
		unended: count(call => call.result.reason.includes('TimeoutError')),
		maxExecutions: Math.max(0, ...single.map(call => executions.get(call.label) ?? 0)),
		falseNotRun: count(call => call.result.outcome === 'not-run' && (executions.get(call.label) ?? 0) > 0),
		wrongAnswers: count(isWrongAnswer),
		cutByPlannedStop: countCallsCutByPlannedStop(calls, report),
	};
};

/** Runs real daemons, stand-ins and targets as processes, and injects faults while callers send mixed traffic. */
export const measureSystem: Measure = async ({seed, reportProgress}) => {
	const fleet = await standIns.launchFleet({
		nodePlaces: PLACES,
		targets: await listSystemTargets(),
		logLevel: 'error',
	});
	const trafficController = new AbortController();
	const watchController = new AbortController();
	try {
		await fleet.waitUntilReady();
		await publishSystemCatalogue(fleet);
		const watch = createSystemWatch(fleet.nodes);
		const watching = watch.run(watchController.signal);
		await timersPromises.setTimeout(1000);
		const report: FaultReport = {
			plannedStopExitCode: undefined,
			plannedStopFront: '',
			plannedStopEndedAtMs: 0,
			editExitCodes: [],
		};
		const traffic = sendSystemTraffic({
			workerCount: WORKER_COUNT,
			random: fakes.createSeededRandom(seed),
			readyFronts: watch.readyFronts,
			signal: trafficController.signal,
		});
		const faults = runSystemFaults({fleet, watch, report}, reportProgress);
		await timersPromises.setTimeout(TRAFFIC_MS);
		trafficController.abort();
		const calls = await traffic;
		await faults;
		watchController.abort();
		await watching;
		reportProgress(`exit codes of the concurrent edits: ${report.editExitCodes.join(', ')}`);
		const reasons = calls
			.map(call => `${call.result.outcome} ${call.result.reason}`)
			.filter(text => !text.startsWith('completed'));
		reportProgress(`endings without an answer: ${JSON.stringify([...new Set(reasons)].slice(0, 20))}`);
		const shortLatencies = calls
			.filter(call => call.isShort && call.result.outcome === 'completed')
			.map(call => call.result.latencyMs);
		return {
			...summarize(calls, await readExecutions(fleet), report),
			reversions: watch.reversionCount(),
			minHealthyOverFloor: watch.minHealthyOverFloor(),
			shortP99Ms: calculateQuantile(shortLatencies, 0.99),
			acceptedConcurrentEdits: report.editExitCodes.filter(code => code === 0).length,
		};
	} finally {
		trafficController.abort();
		watchController.abort();
		// The node that the fault schedule pauses cannot stop before it is resumed.
		fleet.nodes[6]?.process.child.kill('SIGCONT');
		await fleet.stop();
	}
};

import * as timersPromises from 'node:timers/promises';
import type * as standIns from '@bilberrydoor/stand-ins';
import * as undici from 'undici';
import {editConcurrently} from './system-catalogue.js';
import type {SystemWatch} from './system-watch.js';

/** Results of the planned stop and of the concurrent edits. */
export type FaultReport = {
	plannedStopExitCode: number | undefined;
	/** Caller address of the node that was stopped as planned, and the time of its exit on the monotonic clock, in ms. */
	plannedStopFront: string;
	plannedStopEndedAtMs: number;
	editExitCodes: readonly number[];
};

type FaultContext = {
	readonly fleet: standIns.LaunchedFleet;
	readonly watch: SystemWatch;
	readonly report: FaultReport;
};

type Fault = {
	readonly atMs: number;
	readonly name: string;
	inject(context: FaultContext): Promise<void>;
};

const sendPut = async (url: string): Promise<void> => {
	const reply = await undici.request(url, {method: 'PUT'});
	await reply.body.dump();
};

const setTargetFault = async (fleet: standIns.LaunchedFleet, targetId: string, path: string): Promise<void> => {
	const target = fleet.targets.find(candidate => candidate.targetId === targetId);
	await sendPut(`http://${target!.address}/${path}`);
};

const KILLED_NODE_INDEX = 7;
const PAUSED_NODE_INDEX = 6;
const STOPPED_NODE_INDEX = 5;

const FAULTS: readonly Fault[] = [
	{
		atMs: 3000,
		name: 'kill a node',
		async inject({fleet}) {
			await fleet.nodes[KILLED_NODE_INDEX]!.process.stop('SIGKILL');
		},
	},
	{
		atMs: 5000,
		name: 'stop the log',
		inject: async ({fleet}) => sendPut(`http://${fleet.logAddress}/fault/down`),
	},
	{
		atMs: 6000,
		name: 'pause a node past the expiry of operations',
		async inject({fleet}) {
			fleet.nodes[PAUSED_NODE_INDEX]!.process.child.kill('SIGSTOP');
		},
	},
	{
		atMs: 8000,
		name: 'a target answers errors',
		inject: async ({fleet}) => setTargetFault(fleet, 'ratiba-01', 'fault/errors'),
	},
	{
		atMs: 9000,
		name: 'a target is slow',
		inject: async ({fleet}) => setTargetFault(fleet, 'recettes-01', 'fault/slow'),
	},
	{
		atMs: 11_000,
		name: 'resume the paused node',
		async inject({fleet}) {
			fleet.nodes[PAUSED_NODE_INDEX]!.process.child.kill('SIGCONT');
		},
	},
	{
		atMs: 12_000,
		name: 'restart the killed node while the log is down',
		async inject({fleet, watch}) {
			watch.discardAppliedOffset(fleet.nodes[KILLED_NODE_INDEX]!);
			fleet.restartNode(fleet.nodes[KILLED_NODE_INDEX]!);
		},
	},
	{
		atMs: 14_000,
		name: 'stop a node as planned',
		async inject({fleet, report}) {
			const node = fleet.nodes[STOPPED_NODE_INDEX]!;
			report.plannedStopFront = node.front;
			report.plannedStopExitCode = await node.process.stop('SIGTERM');
			report.plannedStopEndedAtMs = performance.now();
		},
	},
	{
		atMs: 17_000,
		name: 'a target leaves',
		inject: async ({fleet}) => setTargetFault(fleet, 'picha-01', 'leaving'),
	},
	{
		atMs: 18_000,
		name: 'start the log again',
		inject: async ({fleet}) => sendPut(`http://${fleet.logAddress}/fault/none`),
	},
	{
		atMs: 20_000,
		name: 'two operators edit the same entry',
		async inject({fleet, report}) {
			report.editExitCodes = await editConcurrently(fleet);
		},
	},
];

/** Starts the faults at their times. They run concurrently, so that a slow one does not delay the next. */
export const runSystemFaults = async (context: FaultContext, reportProgress: (line: string) => void): Promise<void> => {
	await Promise.all(
		FAULTS.map(async fault => {
			await timersPromises.setTimeout(fault.atMs);
			reportProgress(`${fault.atMs} ms: ${fault.name}`);
			await fault.inject(context);
		}),
	);
};

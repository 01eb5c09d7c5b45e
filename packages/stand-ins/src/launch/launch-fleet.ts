import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timersPromises from 'node:timers/promises';
import * as undici from 'undici';
import type {ListedVm} from '../vm-list/vm-list-app.js';
import {findFreePort, launchProcess, type LaunchedProcess, runUntilExit, SCRIPTS} from './launched-process.js';

/** Region and availability zone of a VM. */
export type Place = {readonly region: string; readonly availabilityZone: string};

/** A launched daemon. Its addresses are IP and port. */
export type LaunchedNode = {
	readonly vmId: string;
	readonly place: Place;
	readonly front: string;
	readonly peer: string;
	readonly operations: string;
	readonly settingsFile: string;
	process: LaunchedProcess;
};

export type LaunchedTarget = {
	readonly targetId: string;
	readonly place: Place;
	readonly address: string;
	readonly process: LaunchedProcess;
};

/** Stand-ins and daemons that run as separate processes. */
export type LaunchedFleet = {
	readonly directory: string;
	readonly logAddress: string;
	readonly vmListAddress: string;
	readonly token: string;
	readonly nodes: LaunchedNode[];
	readonly targets: LaunchedTarget[];
	/** Starts a stopped node again on its previous addresses, as a new incarnation. */
	restartNode(node: LaunchedNode): void;
	/** Replaces the VM list with all nodes and targets. VMs at `leavingAddresses` are marked as leaving. */
	publishVmList(leavingAddresses?: readonly string[]): Promise<void>;
	waitUntilReady(): Promise<void>;
	/** Runs `bilberryctl` against the first node. */
	runCli(args: readonly string[]): Promise<{exitCode: number | undefined; output: string}>;
	stop(): Promise<void>;
};

export type LaunchFleetOptions = {
	readonly nodePlaces: readonly Place[];
	readonly targets: ReadonlyArray<Place & {targetId: string; serviceTimeMs: number; fault: string}>;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
	/** Settings of the daemons that are added to the generated ones and override them. */
	readonly extraSettings: Readonly<Record<string, unknown>>;
	readonly isQuiet: boolean;
};

export const DEFAULT_LAUNCH_FLEET_OPTIONS: LaunchFleetOptions = {
	nodePlaces: [],
	targets: [],
	logLevel: 'warn',
	extraSettings: {drain: {noticeMs: 500, limitMs: 20_000}},
	isQuiet: false,
};

const TOKEN = 'operator-token-of-the-stand-in-fleet';
const READY_POLL_INTERVAL_MS = 50;
const READY_POLL_LIMIT_COUNT = 400;

const launchStandIn = (args: readonly string[]): LaunchedProcess => launchProcess(SCRIPTS.standIn, args);

const writeNodeSettings = async (options: {
	directory: string;
	vmId: string;
	place: Place;
	host: string;
	platform: {logUrl: string; vmListUrl: string};
	launch: LaunchFleetOptions;
}): Promise<Omit<LaunchedNode, 'process'>> => {
	const {directory, vmId, place, host} = options;
	const [front, peer, operations] = await Promise.all(
		['front', 'peer', 'operations'].map(async () => `${host}:${await findFreePort(host)}`),
	);
	const settingsFile = path.join(directory, `${vmId}.jsonc`);
	const settings = {
		vmId,
		...place,
		advertisedIp: host,
		listeners: {front, peer, operations},
		platform: options.platform,
		fleetKeyFile: 'fleet.key',
		logLevel: options.launch.logLevel,
		operators: [{name: 'operator', tokenSha256: crypto.createHash('sha256').update(TOKEN).digest('hex'), teams: ['*']}],
		...options.launch.extraSettings,
	};
	await fs.writeFile(
		settingsFile,
		`// Generated for a stand-in fleet.\n${JSON.stringify(settings, undefined, '\t')}\n`,
	);
	return {vmId, place, front: front!, peer: peer!, operations: operations!, settingsFile};
};

/** Starts stand-ins, targets and daemons. The catalogue is empty at first. */
export const launchFleet = async (given: Partial<LaunchFleetOptions>): Promise<LaunchedFleet> => {
	const launch = {...DEFAULT_LAUNCH_FLEET_OPTIONS, ...given};
	const directory = await fs.mkdtemp(path.join(os.tmpdir(), 'bilberrydoor-'));
	await fs.writeFile(path.join(directory, 'fleet.key'), `${crypto.randomBytes(24).toString('hex')}\n`);
	const log = launchStandIn(['log']);
	const vmList = launchStandIn(['vm-list']);
	const [logAddress, vmListAddress] = await Promise.all([log.firstLine, vmList.firstLine]);
	const targets = await Promise.all(
		launch.targets.map(async ({targetId, region, availabilityZone, serviceTimeMs, fault}) => {
			const child = launchStandIn([
				'target',
				'--id',
				targetId,
				'--service-time-ms',
				String(serviceTimeMs),
				'--fault',
				fault,
			]);
			return {targetId, place: {region, availabilityZone}, address: await child.firstLine, process: child};
		}),
	);
	const launchNode = (settingsFile: string): LaunchedProcess =>
		launchProcess(SCRIPTS.daemon, ['--settings', settingsFile], {isQuiet: launch.isQuiet});
	const platform = {logUrl: `http://${logAddress}`, vmListUrl: `http://${vmListAddress}`};
	const nodeDescriptions = await Promise.all(
		launch.nodePlaces.map(async (place, index) =>
			writeNodeSettings({
				directory,
				vmId: `vm-${index + 1}`,
				place,
				host: `127.0.0.${index + 10}`,
				platform,
				launch,
			}),
		),
	);
	const nodes: LaunchedNode[] = [];

	const fleet: LaunchedFleet = {
		directory,
		logAddress,
		vmListAddress,
		token: TOKEN,
		nodes,
		targets,
		restartNode(node) {
			node.process = launchNode(node.settingsFile);
		},
		async publishVmList(leavingAddresses = []) {
			const describeVm = (vmId: string, address: string, place: Place, isFleetNode: boolean): ListedVm => ({
				vmId,
				address,
				...place,
				isFleetNode,
				isLeaving: leavingAddresses.includes(address),
			});
			const vms = [
				...nodeDescriptions.map(node => describeVm(node.vmId, node.peer, node.place, true)),
				...targets.map(target => describeVm(target.targetId, target.address, target.place, false)),
			];
			const reply = await undici.request(`http://${vmListAddress}/vms`, {
				method: 'PUT',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({vms}),
			});
			await reply.body.dump();
		},
		async waitUntilReady() {
			for (let count = 0; count < READY_POLL_LIMIT_COUNT; count++) {
				const statuses = await Promise.all(
					nodes.map(async node => {
						try {
							const reply = await undici.request(`http://${node.operations}/-/readyz`);
							await reply.body.dump();
							return reply.statusCode;
						} catch {
							return 0;
						}
					}),
				);
				if (statuses.every(status => status === 200)) {
					return;
				}

				await timersPromises.setTimeout(READY_POLL_INTERVAL_MS);
			}

			throw new Error('the fleet was not ready in time');
		},
		runCli: async args =>
			runUntilExit(SCRIPTS.cli, ['--node', `http://${nodes[0]!.operations}`, '--token', TOKEN, ...args]),
		async stop() {
			await Promise.all(nodes.map(async node => node.process.stop('SIGKILL')));
			await Promise.all([log, vmList, ...targets.map(target => target.process)].map(async child => child.stop()));
			await fs.rm(directory, {recursive: true, force: true});
		},
	};
	await fleet.publishVmList();
	nodes.push(...nodeDescriptions.map(description => ({...description, process: launchNode(description.settingsFile)})));
	return fleet;
};

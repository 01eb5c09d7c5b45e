#!/usr/bin/env node
import process from 'node:process';
import * as adapters from '@bilberrydoor/adapters';
import * as commander from 'commander';
import type * as hono from 'hono';
import {createLogApp} from './log/log-app.js';
import {createTargetApp, TargetFault} from './target/target-app.js';
import {createVmListApp} from './vm-list/vm-list-app.js';

enum StandIn {
	Log = 'log',
	VmList = 'vm-list',
	Target = 'target',
}

type Options = {listen: string; id: string; serviceTimeMs: string; fault: string; retentionCount: string};

const APPS: Record<StandIn, (options: Options) => hono.Hono<adapters.NodeBindings>> = {
	[StandIn.Log]: options => createLogApp({retentionCount: Number(options.retentionCount)}),
	[StandIn.VmList]: () => createVmListApp(),
	[StandIn.Target]: options =>
		createTargetApp({
			targetId: options.id,
			serviceTimeMs: Number(options.serviceTimeMs),
			fault: options.fault as TargetFault,
		}),
};

await new commander.Command('run-stand-in')
	.description('Runs one stand-in of the platform for demos, tests and measurements.')
	.addArgument(new commander.Argument('<kind>').choices(Object.values(StandIn)))
	.option('--listen <address>', 'IP number and port', '127.0.0.1:0')
	.option('--id <id>', 'target id', 'target')
	.option('--service-time-ms <ms>', 'time that a call takes', '10')
	.option('--fault <fault>', 'fault to start with', TargetFault.None)
	.option('--retention-count <count>', 'records that the log keeps', '10000')
	.action(async (kind: StandIn, options: Options) => {
		const listener = await adapters.startHttpListener(APPS[kind](options), adapters.splitAddress(options.listen));
		process.stdout.write(`${listener.address}\n`);
		process.once('SIGTERM', () => {
			listener.destroy();
			process.exit(0);
		});
	})
	.parseAsync();

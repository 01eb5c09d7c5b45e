import type * as core from '@bilberrydoor/core';
import type {Command} from '../command.js';
import {ExitCode} from '../exit-code.js';
import {layOutTable} from '../output.js';

/** Shows how the queried node would route a request, and which limits apply. */
export const explain: Command = {
	usage: '<route>',
	description: 'show entry, groups, scheduling nodes and limits that a request would meet',
	options: [{flags: '--method <method>', description: 'HTTP method of the request', defaultValue: 'GET'}],
	async run({client, args, options, print, report}) {
		const query = new URLSearchParams({method: String(options.method), path: args[0]!});
		const reply = await client.get<core.RouteExplanation>(`/-/admin/explain?${query.toString()}`);
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const {service, owner, revision, route, groups, queue, defaultWorkspaceLimit, retryBudgetRatio} = reply.value;
		const columns = ['groupId', 'schedulingNode', 'targetCount', 'slotCount', 'floorSlotCount', 'isOwnRegion'] as const;
		print({
			json: reply.value,
			lines: [
				`service ${service}, owner ${owner}, revision ${revision}`,
				`route ${route.pathPrefix} ${route.methods.join(',')}: ${route.workClass}, ${route.repeatability}, deadline ${route.deadlineMs} ms`,
				`bodies up to ${route.requestBodyLimitBytes} bytes in and ${route.answerBodyLimitBytes} bytes out, rate ${route.rateLimitPerSecond ?? 'unlimited'}`,
				`queue ${queue.limitCount} calls and ${queue.limitBytes} bytes, retry budget ${retryBudgetRatio}, workspace rate ${defaultWorkspaceLimit.ratePerSecond} a second`,
				...layOutTable(columns, groups),
			],
		});
		return ExitCode.Ok;
	},
};

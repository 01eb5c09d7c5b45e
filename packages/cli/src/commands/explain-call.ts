import type * as core from '@bilberrydoor/core';
import type {Command, CommandContext} from '../command.js';
import {ExitCode} from '../exit-code.js';
import type {NodeClient} from '../node-client.js';
import {layOutTable} from '../output.js';

const EXPLAIN_CALL_PATH = '/explain-call';

/** Address of a node's metrics listener, which has the same port on all nodes. */
const buildMetricsUrl = (peerAddress: string, {nodeUrl}: NodeClient): string => {
	const url = new URL(nodeUrl);
	url.hostname = new URL(`http://${peerAddress}`).hostname;
	return url.origin;
};

/** Gets what a group's dispatcher sees from the node that it runs on. */
const fetchGroup = async (
	{client, report}: CommandContext,
	{dispatcher, region}: core.RegionExplanation,
	{service, query}: {service: string; query: string},
): Promise<core.GroupExplanation | undefined> => {
	const reply = await client
		.withNode(buildMetricsUrl(dispatcher.address, client))
		.get<core.CallExplanation>(`${EXPLAIN_CALL_PATH}?${query}`);
	if (reply.isErr()) {
		report(`no answer from the dispatcher ${dispatcher.nodeId} of ${service} in ${region}: ${reply.error.message}`);
		return undefined;
	}

	return reply.value.services
		.find(explained => explained.service === service)
		?.regions.find(explained => explained.region === region)?.group;
};

const completeRegion = async (
	context: CommandContext,
	region: core.RegionExplanation,
	request: {service: string; query: string},
): Promise<core.RegionExplanation> =>
	region.dispatcher.isThisNode ? region : {...region, group: await fetchGroup(context, region, request)};

const describeOrder = ({waitLimitMs, whenOwnIsFull, view}: core.RegionExplanation, regionCount: number): string => {
	if (!whenOwnIsFull) {
		return regionCount === 1
			? `own region and the only one, refused beyond a predicted wait of ${waitLimitMs} ms`
			: `own region, others are asked beyond a predicted wait of ${waitLimitMs} ms`;
	}

	const seen = `crossing ${view?.crossingMs} ms, wait ${view?.waitMs} ms`;
	return whenOwnIsFull.isAsked
		? `asked when the own region is full (${seen})`
		: `not asked now: ${whenOwnIsFull.reason}${view?.hold ? `, ${view.hold}` : ''} (${seen})`;
};

const describeGroup = (group: core.GroupExplanation | undefined): string[] =>
	group
		? [
				`    predicted wait ${group.predictedWaitMs} ms, ${group.waitingCount} waiting`,
				...layOutTable(
					['target', 'zone', 'standing', 'slots', 'cost', 'permitted'],
					group.targets.map(target => ({
						target: target.targetId,
						zone: target.availabilityZone,
						standing: target.standing,
						slots: `${target.openCount}/${target.slotCount}`,
						cost: target.cost,
						permitted: target.isPermitted,
					})),
				).map(line => `    ${line}`),
			]
		: ['    the dispatcher has had no call of this group yet, or does not answer'];

const describeService = ({service, weight, regions}: core.ServiceExplanation): string[] => [
	`service ${service}, weight ${weight}`,
	...regions.flatMap(region => [
		`  ${region.region}: ${describeOrder(region, regions.length)}; dispatcher ${region.dispatcher.nodeId}`,
		...describeGroup(region.group),
	]),
];

const describeWorkspace = ({workspace, isKeyNeeded}: core.CallExplanation): string => {
	if (!workspace) {
		return isKeyNeeded
			? 'workspace: none given; without a key the request is refused with 401'
			: 'workspace: none needed';
	}

	const limit = workspace.ratePerSecond
		? `${workspace.ratePerSecond} calls a second, burst ${workspace.burstCount}`
		: 'none';
	return workspace.isKnown
		? `workspace ${workspace.name}: priority ${workspace.priority ?? 'of the route'}, quota ${limit}`
		: `workspace ${workspace.name}: unknown to this node`;
};

const describeRoute = ({match, route, priority, catalogueVersion}: core.CallExplanation): string =>
	route
		? `route ${route.routeId} (${route.host}${route.pathPrefix}, catalogue ${catalogueVersion}): ${route.repeatability}, priority ${priority}, objective ${route.latencyObjectiveMs} ms, at most ${route.timeoutMs} ms, ${route.attemptLimit} attempts`
		: `no route: ${match} (catalogue ${catalogueVersion ?? 'none'})`;

/** Shows where a node of `bilberryd-fleet` would send a request now, and why. */
export const explainCall: Command = {
	usage: '<host> <path>',
	description: 'show where a request would go now, and why, without sending it (--node: metrics address)',
	options: [
		{flags: '--workspace <name>', description: 'workspace of the request'},
		{flags: '--body-bytes <count>', description: "length of the request's body"},
	],
	async run(context) {
		const {client, args, options, print, report} = context;
		const query = new URLSearchParams({
			host: args[0]!,
			path: args[1]!,
			...(options.workspace !== undefined && {workspace: String(options.workspace)}),
			...(options.bodyBytes !== undefined && {bodyBytes: String(options.bodyBytes)}),
		}).toString();
		const reply = await client.get<core.CallExplanation>(`${EXPLAIN_CALL_PATH}?${query}`);
		if (reply.isErr()) {
			report(reply.error.message);
			return reply.error.exitCode;
		}

		const {nodeId, region: entryRegion, availabilityZone} = reply.value;
		const place = new URLSearchParams({entryNode: nodeId, entryRegion, entryZone: availabilityZone});
		const groupQuery = `${query}&${place.toString()}`;
		const services = await Promise.all(
			reply.value.services.map(async explained => ({
				...explained,
				regions: await Promise.all(
					explained.regions.map(async region =>
						completeRegion(context, region, {service: explained.service, query: groupQuery}),
					),
				),
			})),
		);
		const explanation = {...reply.value, services};
		print({
			json: explanation,
			lines: [
				`node ${explanation.nodeId}, zone ${explanation.availabilityZone} of ${explanation.region}`,
				describeRoute(explanation),
				describeWorkspace(explanation),
				...services.flatMap(service => describeService(service)),
			],
		});
		return explanation.route ? ExitCode.Ok : ExitCode.NotFound;
	},
};

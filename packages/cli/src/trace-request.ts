import * as core from '@bilberrydoor/core';
import type {LogLine} from './log-line.js';

/** Period before a request from which other lines are shown, in ms: the longest time that a target is set aside. */
const CONTEXT_PERIOD_MS = 15_000;

/** Events that show with which catalogue, settings, peers and store a node handled a request. */
const NODE_STATE_EVENTS = new Set<string>([
	core.LogEvent.CatalogueInForce,
	core.LogEvent.NodeStarted,
	core.LogEvent.NodeStopping,
	core.LogEvent.PeerLost,
	core.LogEvent.PeerRegained,
	core.LogEvent.ReaderStarted,
	core.LogEvent.SettingsReloaded,
	core.LogEvent.StoreLost,
	core.LogEvent.StoreRegained,
]);

/** Events that show why calls of a workspace were refused. */
const WORKSPACE_EVENTS = new Set<string>([core.LogEvent.QuotaExceeded]);

/** Criteria for the other lines that are shown, taken from the request's own lines. */
type RequestScope = {
	readonly requestId: string;
	readonly nodes: ReadonlySet<unknown>;
	readonly targetIds: ReadonlySet<unknown>;
	readonly workspaces: ReadonlySet<unknown>;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** Finds the scope of a request from its own lines; undefined when there are none. */
export const findRequestScope = (requestId: string, lines: readonly LogLine[]): RequestScope | undefined => {
	const ownLines = lines.filter(({fields}) => fields.requestId === requestId);
	if (ownLines.length === 0) {
		return undefined;
	}

	const timesMs = ownLines.map(({timestamp}) => Date.parse(timestamp));
	const durationsMs = ownLines.map(({fields}) => Number(fields.elapsedMs ?? fields.durationMs ?? 0));
	return {
		requestId,
		nodes: new Set(ownLines.flatMap(({node, fields}) => [node, fields.dispatcher])),
		targetIds: new Set(ownLines.map(({fields}) => fields.targetId).filter(Boolean)),
		workspaces: new Set(ownLines.map(({fields}) => fields.workspace).filter(Boolean)),
		fromMs: Math.min(...timesMs) - Math.max(...durationsMs) - CONTEXT_PERIOD_MS,
		untilMs: Math.max(...timesMs),
	};
};

/** Whether a line is the request's own or concerns a node or a target that handled the request. */
export const isInScope = (scope: RequestScope, {timestamp, node, event, fields}: LogLine): boolean => {
	if (fields.requestId === scope.requestId) {
		return true;
	}

	const timeMs = Date.parse(timestamp);
	if (fields.requestId !== undefined || timeMs < scope.fromMs || timeMs > scope.untilMs) {
		return false;
	}

	return (
		scope.targetIds.has(fields.targetId) ||
		(WORKSPACE_EVENTS.has(event) && scope.workspaces.has(fields.workspace)) ||
		(NODE_STATE_EVENTS.has(event) && scope.nodes.has(node))
	);
};

const formatField = ([name, value]: readonly [string, unknown]): string =>
	`${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`;

/** One line of a timeline. */
export const formatLogLine = ({timestamp, node, event, fields}: LogLine): string =>
	[timestamp, node, event, ...Object.entries(fields).map(formatField)].join('  ');

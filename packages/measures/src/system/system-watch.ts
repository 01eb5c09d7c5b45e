import * as timersPromises from 'node:timers/promises';
import type * as standIns from '@bilberrydoor/stand-ins';
import * as undici from 'undici';

/** Samples the operations listeners of the nodes during the run. */
export type SystemWatch = {
	/** Caller addresses of the nodes that were ready in their last sample, which a load balancer would use. */
	readyFronts(): readonly string[];
	/** Discards the applied offset of a node, because it starts as a new incarnation. */
	discardAppliedOffset(node: standIns.LaunchedNode): void;
	/** Samples in which a node's applied offset was lower than before. */
	reversionCount(): number;
	/** Smallest ratio of healthy slots to the floor over all groups and samples. */
	minHealthyOverFloor(): number;
	run(signal: AbortSignal): Promise<void>;
};

const SAMPLE_PERIOD_MS = 200;
const SAMPLE_TIMEOUT_MS = 500;

const readText = async (url: string): Promise<{status: number; text: string} | undefined> => {
	try {
		const reply = await undici.request(url, {signal: AbortSignal.timeout(SAMPLE_TIMEOUT_MS)});
		return {status: reply.statusCode, text: await reply.body.text()};
	} catch {
		return undefined;
	}
};

const readGauge = (text: string, name: string): Map<string, number> =>
	new Map(
		[...text.matchAll(new RegExp(`^bilberrydoor_${name}(?:\\{group="([^"]+)"\\})? (\\S+)$`, 'gm'))].map(
			match => [match[1] ?? '', Number(match[2])] as const,
		),
	);

export const createSystemWatch = (nodes: readonly standIns.LaunchedNode[]): SystemWatch => {
	const appliedOffsets = new Map<string, number>();
	const readyFronts = new Set<string>();
	let reversionCount = 0;
	let minHealthyOverFloor = Infinity;

	const recordMetrics = (node: standIns.LaunchedNode, text: string): void => {
		const offset = readGauge(text, 'applied_offset').get('') ?? -1;
		const before = appliedOffsets.get(node.vmId) ?? -1;
		reversionCount += offset < before ? 1 : 0;
		appliedOffsets.set(node.vmId, Math.max(offset, before));
		const floors = readGauge(text, 'floor_slots');
		readGauge(text, 'healthy_slots').forEach((healthy, group) => {
			const floor = floors.get(group) ?? 0;
			if (floor > 0) {
				minHealthyOverFloor = Math.min(minHealthyOverFloor, healthy / floor);
			}
		});
	};

	const sampleNode = async (node: standIns.LaunchedNode): Promise<void> => {
		const ready = await readText(`http://${node.operations}/-/readyz`);
		if (ready?.status === 200) {
			readyFronts.add(node.front);
		} else {
			readyFronts.delete(node.front);
		}

		const metrics = ready && (await readText(`http://${node.operations}/-/metrics`));
		if (metrics?.status === 200) {
			recordMetrics(node, metrics.text);
		}
	};

	const watchNode = async (node: standIns.LaunchedNode, signal: AbortSignal): Promise<void> => {
		while (!signal.aborted) {
			await sampleNode(node);
			await timersPromises.setTimeout(SAMPLE_PERIOD_MS);
		}
	};

	return {
		readyFronts: () => [...readyFronts],
		discardAppliedOffset(node) {
			appliedOffsets.delete(node.vmId);
		},
		reversionCount: () => reversionCount,
		minHealthyOverFloor: () => minHealthyOverFloor,
		async run(signal) {
			await Promise.all(nodes.map(async node => watchNode(node, signal)));
		},
	};
};

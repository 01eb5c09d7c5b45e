import * as domain from '@bilberrydoor/domain';

/** Builds a route with defaults for tests. */
export const buildRoute = (given: Partial<domain.RouteEntry> = {}): domain.RouteEntry => ({
	pathPrefix: '/work',
	methods: ['GET', 'POST'],
	workClass: domain.WorkClass.Short,
	repeatability: domain.Repeatability.Repeatable,
	deadlineMs: 2000,
	requestBodyLimitBytes: 1_048_576,
	answerBodyLimitBytes: 1_048_576,
	...given,
});

/** Builds targets and assigns them to the given places round-robin. */
export const buildTargets = (options: {
	service: string;
	count: number;
	slotCount: number;
	places: ReadonlyArray<{region: string; availabilityZone: string}>;
}): domain.TargetEntry[] =>
	Array.from({length: options.count}, (_, index) => ({
		targetId: `${options.service}-${index + 1}`,
		address: `${options.service}-${index + 1}:80`,
		...options.places[index % options.places.length]!,
		slotCount: options.slotCount,
		connectionLimit: 400,
		isDraining: false,
	}));

/** Builds a catalogue entry with defaults for tests. */
export const buildEntry = (
	given: Partial<domain.CatalogueEntry> & Pick<domain.CatalogueEntry, 'service'>,
): domain.CatalogueEntry => ({
	schemaVersion: 1,
	owner: 'team',
	routes: [buildRoute()],
	targets: [],
	floorSlotCount: 0,
	shortReserveRatio: 0.25,
	retryBudgetRatio: 0.1,
	refusalStatuses: [429, 503],
	queue: {limitCount: 1000, limitBytes: 16_777_216},
	defaultWorkspaceLimit: {ratePerSecond: 100_000, burstCount: 100_000, weight: 1},
	workspaceLimits: {},
	operations: {expiryMs: 600_000, retentionMs: 600_000, answerCopyLimitBytes: 16_384},
	linkWeight: 1,
	...given,
});

/** Builds a caller's request for tests. */
export const buildCall = (given: Partial<domain.CallRequest> = {}): domain.CallRequest => ({
	callId: 'call',
	method: 'GET',
	path: '/work',
	query: '',
	headers: [],
	workspace: 'default',
	...given,
});

/** Reads a body to its end and decodes it as UTF-8. Rejects if the body stream fails. */
export const readText = async (body: domain.BodyStream): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of body) {
		chunks.push(chunk);
	}

	const decoder = new TextDecoder();
	return chunks.map(chunk => decoder.decode(chunk, {stream: true})).join('');
};

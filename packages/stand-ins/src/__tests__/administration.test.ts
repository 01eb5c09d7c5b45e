import * as crypto from 'node:crypto';
import * as adapters from '@bilberrydoor/adapters';
import * as core from '@bilberrydoor/core';
import type * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';
import test from 'ava';

const PLACE = {region: 'pwani', availabilityZone: 'kinondoni'};
const TOKENS = {drainage: 'token-of-drainage', kitchen: 'token-of-kitchen', root: 'token-of-root'};
const TEAMS: Record<keyof typeof TOKENS, string[]> = {drainage: ['drainage'], kitchen: ['kitchen'], root: ['*']};

const hash = (token: string): string => crypto.createHash('sha256').update(token).digest('hex');
const operators = (Object.keys(TOKENS) as Array<keyof typeof TOKENS>).map(name => ({
	name,
	teams: TEAMS[name],
	tokenSha256: hash(TOKENS[name]),
}));

const buildEntry = (given: Partial<domain.CatalogueEntry> = {}): domain.CatalogueEntry =>
	fakes.buildEntry({
		service: 'ratiba',
		owner: 'drainage',
		...given,
		targets: [
			{
				...fakes.buildTargets({service: 'ratiba', count: 1, slotCount: 4, places: [PLACE]})[0]!,
				address: '127.0.0.1:7001',
			},
		],
	});

type Reply = {readonly status: number; readonly body: Record<string, unknown>};

/** Starts a node with its operations application on a virtual clock and waits until it is ready. */
const startApplication = async (hasEntry = true) => {
	const fleet = fakes.createFakeFleet();
	const {node} = fleet.startNode({address: 'a:1', ...PLACE});
	await fleet.clock.advance(1000);
	const app = adapters.createOperationsApp({node, registry: adapters.createPrometheusMetrics().registry, operators});
	const send = async (method: string, path: string, token: string, body?: unknown): Promise<Reply> => {
		const answer = async (): Promise<Reply> => {
			const response = await app.request(path, {
				method,
				headers: {authorization: token === '' ? '' : `Bearer ${token}`, 'content-type': 'application/json'},
				body: typeof body === 'string' || body === undefined ? body : JSON.stringify(body),
			});
			return {status: response.status, body: (await response.json()) as Record<string, unknown>};
		};

		return fleet.clock.runUntilSettled(answer(), 30_000);
	};

	if (hasEntry) {
		await fleet.publishEntry(buildEntry());
	}

	return {fleet, send};
};

const buildEdit = (given: Partial<core.EditRequest> = {}): core.EditRequest => ({
	editId: 'edit-1',
	service: 'ratiba',
	baseRevision: 1,
	entry: buildEntry(),
	...given,
});

const entryWithoutRoutes = {...buildEntry(), routes: []};

// Guards against an edit that is accepted although a rule of the administration forbids it.
const REFUSALS: ReadonlyArray<{
	name: string;
	token: string;
	edit: unknown;
	status: number;
	refusal?: core.EditRefusal;
}> = [
	{name: 'no token', token: '', edit: buildEdit(), status: 401},
	{name: 'an unknown token', token: 'guess', edit: buildEdit(), status: 401},
	{name: 'a body that is not JSON', token: TOKENS.root, edit: '{', status: 400},
	{
		name: 'an entry that breaks the schema',
		token: TOKENS.root,
		edit: buildEdit({entry: entryWithoutRoutes}),
		status: 400,
	},
	{name: 'an edit id with a slash', token: TOKENS.root, edit: buildEdit({editId: 'a/b'}), status: 400},
	{
		name: 'a team other than the owner',
		token: TOKENS.kitchen,
		edit: buildEdit(),
		status: 403,
		refusal: core.EditRefusal.NotOwner,
	},
	{
		name: 'another team that names itself the owner',
		token: TOKENS.kitchen,
		edit: buildEdit({entry: buildEntry({owner: 'kitchen'})}),
		status: 403,
		refusal: core.EditRefusal.NotOwner,
	},
	{
		name: 'an owner that gives the entry to a team which the operator is not in',
		token: TOKENS.drainage,
		edit: buildEdit({entry: buildEntry({owner: 'kitchen'})}),
		status: 403,
		refusal: core.EditRefusal.NotOwner,
	},
	{
		name: 'an entry of another service',
		token: TOKENS.root,
		edit: buildEdit({entry: buildEntry({service: 'malipo'})}),
		status: 400,
		refusal: core.EditRefusal.ServiceMismatch,
	},
	{
		name: 'an old revision',
		token: TOKENS.root,
		edit: buildEdit({baseRevision: 0}),
		status: 409,
		refusal: core.EditRefusal.StaleRevision,
	},
	{
		name: 'a revision that the node has not seen',
		token: TOKENS.root,
		edit: buildEdit({baseRevision: 2}),
		status: 503,
		refusal: core.EditRefusal.UnknownRevision,
	},
	{
		name: 'the removal of a service that does not exist',
		token: TOKENS.root,
		edit: {editId: 'edit-1', service: 'malipo', baseRevision: 0},
		status: 409,
		refusal: core.EditRefusal.NothingToRemove,
	},
	{
		name: 'an entry that is too large for a record',
		token: TOKENS.root,
		edit: buildEdit({
			entry: buildEntry({
				workspaceLimits: Object.fromEntries(
					Array.from({length: 20_000}, (_, index) => [`w${index}`, {ratePerSecond: 1, burstCount: 1, weight: 1}]),
				),
			}),
		}),
		status: 413,
		refusal: core.EditRefusal.TooLarge,
	},
];

REFUSALS.forEach(({name, token, edit, status, refusal}) => {
	test(`an edit is refused: ${name}`, async t => {
		const {fleet, send} = await startApplication();
		const appendCount = fleet.log.appendCount();
		const reply = await send('POST', '/-/admin/edits', token, edit);
		t.is(reply.status, status);
		t.is(reply.body.refusal, refusal);
		t.is(fleet.log.appendCount(), appendCount);
	});
});

// Guards against a reused edit id, under which the outcome of the first edit could no longer be looked up.
test('an edit is refused: an edit id that belongs to another service', async t => {
	const {send} = await startApplication();
	t.like(await send('POST', '/-/admin/edits', TOKENS.root, buildEdit()), {status: 200});
	const other = buildEdit({service: 'malipo', baseRevision: 0, entry: buildEntry({service: 'malipo'})});
	const reply = await send('POST', '/-/admin/edits', TOKENS.root, other);
	t.like(reply, {status: 409, body: {refusal: core.EditRefusal.EditIdReused}});
});

// Guards against a node without a catalogue that accepts edits although it cannot check the owner of the entry.
test('an edit is refused: a node that is not ready', async t => {
	const {fleet} = await startApplication();
	fleet.log.fault = fakes.FakeLogFault.Down;
	const {node} = fleet.startNode({address: 'a:1', ...PLACE});
	const edited = node.administration.submitEdit(operators[2]!, buildEdit(), new AbortController().signal);
	const report = await fleet.clock.runUntilSettled(edited, 5000);
	t.like(report, {outcome: core.EditOutcome.NotYetKnown, refusal: core.EditRefusal.NotReady});
});

// Guards against a second revision when an operator repeats an edit whose outcome was uncertain.
const UNCERTAIN_EDIT_CASES = [
	{name: 'the log is down', fault: fakes.FakeLogFault.Down, first: core.EditOutcome.NotYetKnown},
	{
		name: 'the answer of the append is lost',
		fault: fakes.FakeLogFault.LoseAppendAnswers,
		first: core.EditOutcome.Accepted,
	},
];
UNCERTAIN_EDIT_CASES.forEach(({name, fault, first}) => {
	test(`a repeated edit has one effect: ${name}`, async t => {
		const {fleet, send} = await startApplication();
		fleet.log.fault = fault;
		const report = await send('POST', '/-/admin/edits', TOKENS.drainage, buildEdit());
		t.is(report.body.outcome, first);
		fleet.log.fault = fakes.FakeLogFault.None;
		await fleet.clock.advance(5000);
		const repeated = await send('POST', '/-/admin/edits', TOKENS.drainage, buildEdit());
		t.like(repeated, {status: 200, body: {outcome: core.EditOutcome.Accepted, revision: 2}});
		t.like(await send('GET', '/-/admin/edits/edit-1', TOKENS.drainage), {body: {outcome: 'accepted', revision: 2}});
		t.like(await send('GET', '/-/admin/entries/ratiba', TOKENS.kitchen), {body: {revision: 2, author: 'drainage'}});
	});
});

// Guards against administration views that differ from the tables by which calls are served.
test('history, revisions, services, explain and fleet show the catalogue in force', async t => {
	const {send} = await startApplication();
	await send('POST', '/-/admin/edits', TOKENS.drainage, buildEdit());
	await send('POST', '/-/admin/edits', TOKENS.drainage, {editId: 'edit-2', service: 'ratiba', baseRevision: 2});
	const history = await send('GET', '/-/admin/entries/ratiba/history', TOKENS.kitchen);
	t.like(history.body, {revisions: [{revision: 1}, {revision: 2, author: 'drainage'}, {revision: 3, isRemoval: true}]});
	t.like(await send('GET', '/-/admin/entries/ratiba/revisions/2', TOKENS.kitchen), {body: {editId: 'edit-1'}});
	t.like(await send('GET', '/-/admin/entries/ratiba/revisions/9', TOKENS.kitchen), {status: 404});
	t.like(await send('GET', '/-/admin/explain?path=/work', TOKENS.kitchen), {status: 404});
	await send('POST', '/-/admin/edits', TOKENS.drainage, buildEdit({editId: 'edit-3', baseRevision: 3}));
	t.like(await send('GET', '/-/admin/services', TOKENS.kitchen), {
		body: {services: [{service: 'ratiba', slotCount: 4}]},
	});
	const explained = await send('GET', '/-/admin/explain?method=GET&path=/work/7', TOKENS.kitchen);
	t.like(explained.body, {service: 'ratiba', revision: 4, groups: [{schedulingNode: 'a:1', slotCount: 4}]});
	t.like(await send('GET', '/-/admin/explain?method=PUT&path=/work', TOKENS.kitchen), {status: 405});
	t.like(await send('GET', '/-/admin/fleet', TOKENS.kitchen), {body: {isReady: true, nodes: [{isLagging: false}]}});
	t.like(await send('GET', '/-/admin/operations/x', TOKENS.kitchen), {status: 404});
});

import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {FLEET_MESSAGE_SCHEMAS, FLEET_REPLY_ENCODERS, FLEET_REQUEST_ENCODERS} from '../peer/fleet-message-schemas.js';

const {PullRegistry} = core.FleetMessageKind;

const CATALOGUE: domain.FleetCatalogue = {
	version: 7,
	routes: [
		{
			routeId: 'route',
			host: 'malipo.example',
			pathPrefix: '/clearances/',
			shares: [{service: 'malipo', weight: 1}],
			repeatability: domain.Repeatability.Single,
			isBulk: false,
			timeoutMs: 2000,
			latencyObjectiveMs: 1200,
			attemptLimit: 2,
			priority: 1,
		},
	],
	unreadableRoutes: [],
	services: [{service: 'malipo', healthPath: '/health', connectionLimit: 390}],
	limits: {headerLimitBytes: 16_384, bodyLimitBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000},
};

const NO_CHANGES = {records: [], nextOffset: 0, isWhole: true};

const buildReply = (value: domain.FleetCatalogue | undefined): core.PullRegistryReply => ({
	topics: {
		[core.RegistryTopic.Catalogue]: {records: [{key: 'config', offset: 0, value}], nextOffset: 1, isWhole: true},
		[core.RegistryTopic.Targets]: NO_CHANGES,
		[core.RegistryTopic.Nodes]: NO_CHANGES,
	},
	isStale: false,
	role: core.RegistryRole.Follower,
	topicAgesMs: {[core.RegistryTopic.Catalogue]: 3, [core.RegistryTopic.Targets]: 2, [core.RegistryTopic.Nodes]: 1},
	storeAnswers: {ageMs: 2, runMs: 90_000},
});

/** Serializes an encoded reply and decodes it as the receiving node does. */
const transfer = (encoded: unknown) => {
	const text = JSON.stringify(encoded);
	return FLEET_MESSAGE_SCHEMAS[PullRegistry].reply.safeParse(JSON.parse(text));
};

const encodeText = (value: unknown): string =>
	zlib.deflateRawSync(Buffer.from(JSON.stringify(value))).toString('base64');

test('a catalogue is received unchanged, directly and through a relay', t => {
	const reply = buildReply(CATALOGUE);
	const received = transfer(FLEET_REPLY_ENCODERS[PullRegistry](reply));
	t.deepEqual(received.data, reply);
	t.deepEqual(transfer(FLEET_REPLY_ENCODERS[PullRegistry](received.data!)).data, reply);
});

// Guards against a removal that an entry node cannot compare with a grant, because the offset was lost on its way.
test('a grant is received with the offset of its target', t => {
	const target = {
		targetId: 'a',
		startedAtMs: 1,
		service: 'malipo',
		address: '10.0.0.1:1',
		region: 'pwani',
		availabilityZone: 'temeke',
		slotCount: 4,
		readiness: domain.TargetReadiness.Ready,
		warmUpLeftMs: 0,
	};
	const grant = {isGranted: true, grantId: 'grant', target, targetOffset: 17, standing: core.GrantStanding.Sound};
	const schema = FLEET_MESSAGE_SCHEMAS[core.FleetMessageKind.AcquireGrant].reply;
	const text = JSON.stringify(grant);
	t.deepEqual(schema.parse(JSON.parse(text)), grant as core.AcquireGrantReply);
});

// Guards against a time to come back, or a kind of attempt, that is lost between two nodes or required of an earlier version.
test('a denial is received with the time after which there is room, and without it from an earlier version', t => {
	const schema = FLEET_MESSAGE_SCHEMAS[core.FleetMessageKind.AcquireGrant].reply;
	const earlier: core.GrantDenial = {isGranted: false, refusal: core.GrantRefusal.Busy, predictedWaitMs: 300};
	const denial: core.GrantDenial = {...earlier, roomAfterMs: 450};
	t.deepEqual(schema.parse(structuredClone(denial)), denial);
	t.deepEqual(schema.parse(structuredClone(earlier)), earlier);
});

test('a request is received with its workspace and the kind of its attempt, and without them from an earlier version', t => {
	const schema = FLEET_MESSAGE_SCHEMAS[core.FleetMessageKind.AcquireGrant].request;
	const earlier: core.AcquireGrantRequest = {
		requestId: 'request',
		nodeId: 'entry-1',
		availabilityZone: 'temeke',
		routeId: 'route',
		service: 'malipo',
		region: 'pwani',
		priority: 1,
		repeatability: domain.Repeatability.Repeatable,
		attemptIndex: 1,
		isNewCall: false,
		remainingMs: 2000,
		objectiveLeftMs: 1200,
		waitLimitMs: 240,
		isLastResort: false,
		excludedTargetIds: [],
		targetNotices: [],
	};
	const request = {...earlier, workspace: 'workspace-1', isReplacement: true};
	t.deepEqual(schema.parse(structuredClone(request)), request);
	t.deepEqual(schema.parse(structuredClone(earlier)), earlier);
});

// Guards against positions of a former era of the store that a peer takes for newer ones, because the era was lost on its way.
test('eras are received with the offsets that they belong to', t => {
	const changes = {...NO_CHANGES, era: 3, restoredBeforeOffset: 5};
	const {topics, ...others} = buildReply(CATALOGUE);
	const reply = {...others, topics: {...topics, [core.RegistryTopic.Nodes]: changes}, storeEra: {era: 3, ageMs: 250}};
	t.deepEqual(transfer(FLEET_REPLY_ENCODERS[PullRegistry](reply)).data, reply);
	const numbers = {[core.RegistryTopic.Catalogue]: 1, [core.RegistryTopic.Targets]: 2, [core.RegistryTopic.Nodes]: 3};
	const request = {fromOffsets: numbers, fromEras: numbers, storeEra: 3, waitMs: 0};
	t.deepEqual(FLEET_MESSAGE_SCHEMAS[PullRegistry].request.parse(request), request);
	t.false(FLEET_MESSAGE_SCHEMAS[PullRegistry].request.safeParse({...request, storeEra: -1}).success);
});

// Guards against nodes of an earlier version whose messages are refused during a rolling update.
test('messages without eras are accepted', t => {
	t.true(transfer(FLEET_REPLY_ENCODERS[PullRegistry](buildReply(undefined))).success);
	const numbers = {[core.RegistryTopic.Catalogue]: 1, [core.RegistryTopic.Targets]: 2, [core.RegistryTopic.Nodes]: 3};
	const request = {fromOffsets: numbers, waitMs: 0};
	t.deepEqual(FLEET_MESSAGE_SCHEMAS[PullRegistry].request.parse(request), request);
});

test('the removal of a catalogue has no value', t => {
	t.is(
		transfer(FLEET_REPLY_ENCODERS[PullRegistry](buildReply(undefined))).data?.topics.catalogue.records[0]?.value,
		undefined,
	);
});

// Guards against a damaged catalogue that is applied or crashes the process.
[
	{name: 'is not compressed', text: 'catalogue'},
	{name: 'is truncated', text: encodeText(CATALOGUE).slice(0, 40)},
	{name: 'does not match the schema', text: encodeText({version: 'seven'})},
].forEach(({name, text}) => {
	test(`a reply whose catalogue ${name} is malformed`, t => {
		const reply = buildReply(CATALOGUE);
		const records = [{key: 'config', offset: 0, value: text}];
		const topics = {...reply.topics, [core.RegistryTopic.Catalogue]: {records, nextOffset: 1, isWhole: true}};
		t.false(transfer({...reply, topics}).success);
	});
});

// Guards against a record of another version that makes a node refuse the whole reply of its peer.
test('a record of another version is marked, and the other records of the reply are read', t => {
	const encoded = FLEET_REPLY_ENCODERS[PullRegistry](buildReply(CATALOGUE)) as {topics: Record<string, unknown>};
	const node = {nodeId: 'n', incarnationId: 'n#1', address: '10.0.0.1:1', region: 'pwani', availabilityZone: 'temeke'};
	const records = [
		{key: 'n', offset: 0, value: node},
		{key: 'newer', offset: 1, value: {...node, address: {ip: '10.0.0.2', port: 1}}},
		{key: 'removed', offset: 2},
	];
	const topics = {...encoded.topics, [core.RegistryTopic.Nodes]: {records, nextOffset: 3, isWhole: true}};
	const received = transfer({...encoded, topics}).data!;
	t.deepEqual(
		received.topics.nodes.records.map(({key, value, isUnreadable}) => [key, value?.nodeId, isUnreadable]),
		[
			['n', 'n', undefined],
			['newer', undefined, true],
			['removed', undefined, undefined],
		],
	);
	t.is(received.topics.catalogue.records[0]?.value?.version, 7);
});

const ROUTES_OF_OTHER_VERSIONS = [
	{
		name: 'an unknown repeatability',
		change: {repeatability: 'twice'},
		routes: [{...CATALOGUE.routes[0]!, repeatability: domain.Repeatability.Single}],
		unreadableRoutes: [],
	},
	{name: 'an unknown field', change: {mirror: 'other'}, routes: CATALOGUE.routes, unreadableRoutes: []},
	{
		name: 'a timeout of another type',
		change: {timeoutMs: '2 s'},
		routes: [],
		unreadableRoutes: [{routeId: 'route', host: 'malipo.example', pathPrefix: '/clearances/'}],
	},
];

ROUTES_OF_OTHER_VERSIONS.forEach(({name, change, routes, unreadableRoutes}) => {
	test(`a route with ${name} does not affect the rest of the catalogue`, t => {
		const other = {...CATALOGUE.routes[0]!, routeId: 'other', pathPrefix: '/other/'};
		const {unreadableRoutes: _omitted, ...older} = CATALOGUE;
		const text = encodeText({...older, routes: [{...CATALOGUE.routes[0]!, ...change}, other]});
		const reply = buildReply(CATALOGUE);
		const records = [{key: 'config', offset: 0, value: text}];
		const topics = {...reply.topics, [core.RegistryTopic.Catalogue]: {records, nextOffset: 1, isWhole: true}};
		const catalogue = transfer({...reply, topics}).data?.topics.catalogue.records[0]?.value;
		t.deepEqual(catalogue, {...CATALOGUE, routes: [...routes, other], unreadableRoutes});
	});
});

// Guards against nodes that use no source among nodes of an earlier version, whose replies do not tell their role.
test('a reply without a role is that of a reader', t => {
	const {role: _role, ...reply} = buildReply(CATALOGUE);
	const received = transfer(FLEET_REPLY_ENCODERS[PullRegistry](reply as core.PullRegistryReply));
	t.is(received.data?.role, core.RegistryRole.Reader);
});

const GRANT_REQUEST: core.AcquireGrantRequest = {
	requestId: 'request',
	nodeId: 'entry-1',
	availabilityZone: 'kinondoni',
	routeId: 'route',
	service: 'malipo',
	region: 'bara',
	isFromOtherRegion: true,
	priority: 1,
	repeatability: domain.Repeatability.Single,
	attemptIndex: 1,
	isNewCall: false,
	remainingMs: 2000,
	objectiveLeftMs: 1200,
	waitLimitMs: 0,
	isLastResort: false,
	excludedTargetIds: [],
	targetNotices: [],
};
const NOTICE: core.TargetNotice = {targetId: 'a', startedAtMs: 1, isLeaving: true, pauseLeftMs: 0};

const GRANT_REQUEST_CASES = [
	{name: 'with defaults', request: GRANT_REQUEST},
	{name: 'with notices', request: {...GRANT_REQUEST, isNewCall: true, targetNotices: [NOTICE], bodyBytes: 1500}},
];

// Guards against fields that are left out to save bytes and that the receiver completes in another way.
GRANT_REQUEST_CASES.forEach(({name, request}) => {
	test(`a request for a grant ${name} is received unchanged`, t => {
		const {AcquireGrant} = core.FleetMessageKind;
		const text = JSON.stringify(FLEET_REQUEST_ENCODERS[AcquireGrant](request));
		t.deepEqual(FLEET_MESSAGE_SCHEMAS[AcquireGrant].request.parse(JSON.parse(text)), request);
	});
});

const LEASE_REQUEST: core.LeaseQuotaRequest = {
	workspace: 'ward-office',
	nodeId: 'node-1',
	incarnationId: 'run-1',
	sequence: 7,
	wantedCount: 3,
	isImmediate: false,
	unusedCount: 2,
	returnedCount: 0,
};

// Guards against requests of a faulty peer that would add tokens to an account.
test('requests for tokens are received unchanged, and negative or broken counts are refused', t => {
	const {request, reply} = FLEET_MESSAGE_SCHEMAS[core.FleetMessageKind.LeaseQuota];
	t.deepEqual(request.parse(LEASE_REQUEST), LEASE_REQUEST);
	(['sequence', 'wantedCount', 'unusedCount', 'returnedCount'] as const).forEach(field => {
		t.false(request.safeParse({...LEASE_REQUEST, [field]: -1}).success);
		t.false(request.safeParse({...LEASE_REQUEST, [field]: 0.5}).success);
	});
	t.false(reply.safeParse({grantedCount: -1, isRenewed: true, leaseMs: 1000, nextTokenMs: 0}).success);
});

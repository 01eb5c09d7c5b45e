import * as core from '@bilberrydoor/core';
import * as hono from 'hono';
import test from 'ava';
import type {NodeBindings} from '../http/http-listener.js';
import {addCallExplanation} from '../observability/explain-app.js';

const createApp = () => {
	const requests: core.ExplainedRequest[] = [];
	const app = addCallExplanation(new hono.Hono<NodeBindings>(), '/explain-call', request => {
		requests.push(request);
		return {
			nodeId: 'edge-1',
			region: 'pwani',
			availabilityZone: 'kinondoni',
			catalogueVersion: 4,
			match: core.RouteMatchKind.None,
			isKeyNeeded: false,
			services: [],
		};
	});
	return {requests, get: async (query: string) => app.request(`/explain-call?${query}`)};
};

test('the explanation of a request is served as JSON', async t => {
	const {requests, get} = createApp();
	const reply = await get('host=gateway.example&path=%2Fclearances%2F17&bodyBytes=500');
	t.is(reply.status, 200);
	t.like(await reply.json(), {nodeId: 'edge-1', match: 'none'});
	t.like(requests[0], {host: 'gateway.example', path: '/clearances/17', bodyBytes: 500, entryNode: undefined});
	await get('host=gateway.example&path=%2F&entryNode=edge-2&entryRegion=bara&entryZone=morogoro');
	t.deepEqual(requests[1]!.entryNode, {nodeId: 'edge-2', region: 'bara', availabilityZone: 'morogoro'});
});

const BAD_QUERIES = [
	{name: 'without a host', query: 'path=%2F', field: 'host'},
	{name: 'with a path that does not begin with a slash', query: 'host=a&path=x', field: 'path'},
	{name: 'with a length that is no number', query: 'host=a&path=%2F&bodyBytes=many', field: 'bodyBytes'},
];

BAD_QUERIES.forEach(({name, query, field}) => {
	test(`a query ${name} is refused with the field`, async t => {
		const reply = await createApp().get(query);
		t.is(reply.status, 400);
		t.regex(((await reply.json()) as {error: string}).error, new RegExp(`^${field}: `));
	});
});

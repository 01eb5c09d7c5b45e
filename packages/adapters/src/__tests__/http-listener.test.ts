import * as stream from 'node:stream';
import test from 'ava';
import * as hono from 'hono';
import * as undici from 'undici';
import {startHttpListener, type NodeBindings} from '../http/http-listener.js';

// Guards against a shutdown that does not wait for requests whose bodies are still arriving.
test('a request is counted from the arrival of its head until its answer is sent', async t => {
	const counts: number[] = [];
	const app = new hono.Hono<NodeBindings>();
	app.post('*', async context => {
		counts.push(listener.countRequests());
		await context.req.text();
		return context.text('done');
	});
	const listener = await startHttpListener(app, {});
	t.teardown(async () => {
		listener.destroy();
		await listener.close();
	});
	t.is(listener.countRequests(), 0);
	const body = new stream.PassThrough();
	body.write('first');
	const answered = undici.request(`http://${listener.address}/`, {method: 'POST', body});
	while (counts.length === 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	body.end('last');
	const {body: answer} = await answered;
	t.is(await answer.text(), 'done');
	t.deepEqual(counts, [1]);
	while (listener.countRequests() > 0) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
});

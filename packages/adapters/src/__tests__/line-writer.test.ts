import * as stream from 'node:stream';
import test from 'ava';
import {createLineWriter} from '../observability/line-writer.js';

/** Creates an output whose writes stay pending until `settle` is called. */
const createSlowOutput = () => {
	const pending: Array<() => void> = [];
	const chunks: string[] = [];
	const output = new stream.Writable({
		decodeStrings: false,
		write(chunk: string, _encoding, callback) {
			chunks.push(chunk);
			pending.push(callback);
		},
	});
	const settle = async (): Promise<void> => {
		while (pending.length > 0) {
			pending.shift()!();
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	};

	return {output, settle, readLines: () => chunks.join('').trim().split('\n')};
};

test('lines beyond the limit are dropped and counted while the reader is slow', async t => {
	const {output, settle, readLines} = createSlowOutput();
	const writer = createLineWriter({output, bufferLimitLength: 12, fields: {node: 'edge-1'}});
	['one\n', 'two\n', 'three\n', 'four\n', 'five\n'].forEach(line => {
		writer.write(line);
	});
	t.true(output.writableLength <= 12);
	await settle();
	writer.write('six\n');
	await settle();
	const lines = readLines();
	t.deepEqual(
		lines.filter(line => !line.startsWith('{')),
		['one', 'two', 'six'],
	);
	const dropped = JSON.parse(lines.find(line => line.startsWith('{'))!) as Record<string, unknown>;
	t.is(dropped.node, 'edge-1');
	t.is(dropped.event, 'log-lines-dropped');
	t.is(dropped.droppedCount, 3);
});

test('a closed output neither ends the process nor blocks the flush', async t => {
	const {output} = createSlowOutput();
	const writer = createLineWriter({output});
	output.destroy(new Error('the reader is gone'));
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	writer.write('line\n');
	await writer.flush(10);
	t.true(output.destroyed);
});

import test from 'ava';
import {BodyLengthError, createHeldBody, ReaderReplacedError} from '../held-body.js';

async function* createSource(sizes: readonly number[]): AsyncGenerator<Uint8Array> {
	yield* sizes.map((sizeBytes, index) => new Uint8Array(sizeBytes).fill(index));
}

const readSizes = async (body: AsyncIterable<Uint8Array>): Promise<number[]> => {
	const sizes: number[] = [];
	for await (const {byteLength} of body) {
		sizes.push(byteLength);
	}

	return sizes;
};

// Guards against a cancelled attempt that ends or advances the body of the attempt after it.
test('a replaced reader throws, and the later one gets the whole body', async t => {
	const body = createHeldBody(createSource([1, 2, 3]), {limitBytes: 10});
	const first = body.open()[Symbol.asyncIterator]();
	await first.next();
	const pending = first.next();
	const second = body.open();
	await t.throwsAsync(pending, {instanceOf: ReaderReplacedError});
	await first.return?.();
	await t.throwsAsync(async () => first.next(), {instanceOf: ReaderReplacedError});
	t.deepEqual(await readSizes(second), [1, 2, 3]);
	t.is(body.wholeBytes()?.byteLength, 6);
});

// Guards against a further attempt that sends a body without its first bytes, and against bodies held without a limit.
test('a body can be opened until more bytes than the limit have been read', async t => {
	const body = createHeldBody(createSource([2, 3, 1, 4]), {limitBytes: 5});
	await body.readToLimit();
	const reader = body.open()[Symbol.asyncIterator]();
	await reader.next();
	await reader.next();
	t.true(body.canOpen());
	await reader.next();
	t.false(body.canOpen());
	await t.throwsAsync(readSizes(body.open()), {instanceOf: ReaderReplacedError});
	t.is((await reader.next()).value?.byteLength, 4);
	t.true((await reader.next()).done);
});

// Guards against a body that ends as complete although the caller announced another length, or its call has ended.
[
	{name: 'fewer', announcedBytes: 4},
	{name: 'more', announcedBytes: 2},
].forEach(({name, announcedBytes}) => {
	test(`a body of ${announcedBytes} announced bytes is broken when it has ${name}`, async t => {
		const body = createHeldBody(createSource([1, 2]), {limitBytes: 1, announcedBytes});
		await t.throwsAsync(readSizes(body.open()), {instanceOf: BodyLengthError});
		t.true(body.isBroken());
		t.false(body.canOpen());
	});
});

test('a reader throws when the body is closed before its end', async t => {
	const body = createHeldBody(createSource([1, 2]), {limitBytes: 10});
	const reader = body.open()[Symbol.asyncIterator]();
	await reader.next();
	body.close();
	await t.throwsAsync(async () => reader.next(), {instanceOf: ReaderReplacedError});
});

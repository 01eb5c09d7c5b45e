import {Buffer} from 'node:buffer';
import test from 'ava';
import * as fastCheck from 'fast-check';
import {createMessageScanner, MessagePart, type BodyFraming} from '../http/message-scanner.js';

const NO_BODY: BodyFraming = {isChunked: false, lengthBytes: 0};

type Message = {readonly head: string; readonly body: string; readonly framing: BodyFraming};

const CHUNKED: BodyFraming = {isChunked: true, lengthBytes: 0};
const BODY_WITH_LINES = '\r\n\r\nGET / HTTP/1.1\r\n\r\n0\r\n\r\n';

const MESSAGES: readonly Message[] = [
	{head: 'GET / HTTP/1.1\r\nHost: a\r\n\r\n', body: '', framing: NO_BODY},
	{head: 'GET / HTTP/1.1\nHost: a\n\n', body: '', framing: NO_BODY},
	{
		head: 'POST / HTTP/1.1\r\nHost: a\r\n\r\n',
		body: BODY_WITH_LINES,
		framing: {isChunked: false, lengthBytes: BODY_WITH_LINES.length},
	},
	{
		head: 'PUT / HTTP/1.1\r\nHost: a\r\n\r\n',
		body: `${BODY_WITH_LINES.length.toString(16).toUpperCase()};name="x"\r\n${BODY_WITH_LINES}\r\n00\r\nt: v\r\n\r\n`,
		framing: CHUNKED,
	},
	{head: 'PUT / HTTP/1.1\r\nHost: a\r\n\r\n', body: '0\r\n\r\n', framing: CHUNKED},
];

const messageText = ({head, body}: Message): string => head + body;

const messages = fastCheck.array(
	fastCheck.record({message: fastCheck.constantFrom(...MESSAGES), emptyLineCount: fastCheck.nat(3)}),
	{
		minLength: 1,
		maxLength: 6,
	},
);

// Guards against requests that are parsed before those ahead of them are answered, and against bodies that are taken for requests.
test('no scanned part goes beyond a head or a message, however the bytes arrive', t => {
	fastCheck.assert(
		fastCheck.property(messages, fastCheck.array(fastCheck.integer({min: 1, max: 60})), (sent, readSizes) => {
			const bytes = Buffer.from(
				sent.map(({message, emptyLineCount}) => '\r\n'.repeat(emptyLineCount) + messageText(message)).join(''),
			);
			const scanner = createMessageScanner();
			const left = sent.map(({message}) => message);
			const parts: string[] = [];
			const reads = [...readSizes, bytes.byteLength];
			let readEnd = 0;
			let offset = 0;
			reads.forEach(sizeBytes => {
				readEnd = Math.min(bytes.byteLength, readEnd + sizeBytes);
				while (offset < readEnd) {
					const wasHead = scanner.part() === MessagePart.EmptyLines || scanner.part() === MessagePart.Head;
					const end = scanner.scan(bytes.subarray(0, readEnd), offset);
					parts.push(bytes.toString('latin1', offset, end));
					offset = end;
					if (wasHead && scanner.part() === MessagePart.EmptyLines && scanner.scanned().fieldBytes > 0) {
						scanner.startBody(left.shift()!.framing);
					}
				}
			});
			const headEnds = parts.filter(part => /HTTP\/1\.1\r?\nHost: a\r?\n\r?\n$/.test(part));
			return (
				left.length === 0 &&
				parts.join('') === bytes.toString('latin1') &&
				scanner.part() === MessagePart.EmptyLines &&
				headEnds.length <= sent.length
			);
		}),
		{seed: 54},
	);
	t.pass();
});

// Guards against parts that are not counted, and could be sent without an end.
(
	[
		{name: 'empty lines', head: '', framing: NO_BODY, text: '\r\n\n\r\n', counted: {emptyLineBytes: 5}},
		{
			name: 'the lines of a head',
			head: '',
			framing: NO_BODY,
			text: 'GET / HTTP/1.1\r\na:\r\nb:',
			counted: {fieldBytes: 22, fieldLineCount: 2},
		},
		{
			name: 'a chunk extension',
			head: 'x\r\n\r\n',
			framing: CHUNKED,
			text: `1;${'e'.repeat(100)}`,
			counted: {chunkOverheadBytes: 84},
		},
		{
			name: 'zeros of a chunk size',
			head: 'x\r\n\r\n',
			framing: CHUNKED,
			text: '0'.repeat(100),
			counted: {chunkOverheadBytes: 82},
		},
		{
			name: 'plain chunk lines',
			head: 'x\r\n\r\n',
			framing: CHUNKED,
			text: '1\r\nx\r\n'.repeat(50),
			counted: {chunkOverheadBytes: 0},
		},
		{
			name: 'trailers',
			head: 'x\r\n\r\n',
			framing: CHUNKED,
			text: '0\r\nt: v\r\nu:',
			counted: {chunkOverheadBytes: 8, fieldBytes: 8, fieldLineCount: 1},
		},
	] as const
).forEach(({name, head, framing, text, counted}) => {
	test(`${name} are counted in the same way, sent at once or byte by byte`, t => {
		const sizes = [Number.POSITIVE_INFINITY, 1];
		sizes.forEach(sizeBytes => {
			const scanner = createMessageScanner();
			if (head !== '') {
				scanner.scan(Buffer.from(head), 0);
				scanner.startBody(framing);
			}

			const bytes = Buffer.from(text);
			for (let offset = 0; offset < bytes.byteLength; ) {
				const end = scanner.scan(bytes.subarray(offset, offset + sizeBytes), 0);
				offset += end;
			}

			t.like(scanner.scanned(), counted);
		});
	});
});

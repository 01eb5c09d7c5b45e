/** Part of a message to which the next byte of a connection belongs. */
export enum MessagePart {
	/** Empty lines before a request, or nothing. */
	EmptyLines = 'empty-lines',
	Head = 'head',
	/** A body with a length. */
	Body = 'body',
	/** The line with a chunk's size. */
	ChunkLine = 'chunk-line',
	/** A chunk, with the end of its line. */
	ChunkData = 'chunk-data',
	Trailers = 'trailers',
}

/** How the body of a request ends. */
export type BodyFraming = {
	readonly isChunked: boolean;
	/** Length of a body that is not sent in chunks, in bytes. */
	readonly lengthBytes: number;
};

/** What has arrived of a request, apart from its body. */
export type ScannedBytes = {
	/** Empty lines before the request, in bytes. */
	readonly emptyLineBytes: number;
	/** The head or the trailers, in bytes. */
	readonly fieldBytes: number;
	/** Lines of the head or of the trailers. */
	readonly fieldLineCount: number;
	/** Trailers, and what chunk lines have beyond a size, in bytes. */
	readonly chunkOverheadBytes: number;
};

/**
 * Finds where the parts of the messages on a connection begin and end, so that the parser can be given one request at a time. It
 * only splits and counts: whether a message is valid is for the parser to say.
 */
export type MessageScanner = {
	/** Scans from an offset up to the end of a head or of a message, or a limit. Returns the offset at which it stopped. */
	scan(bytes: Uint8Array, offset: number): number;
	/** Starts the body of the request whose head has just been parsed. */
	startBody(framing: BodyFraming): void;
	part(): MessagePart;
	/** What has arrived of the request since its first empty line. The head is not included once its body has started. */
	scanned(): ScannedBytes;
};

type ScanState = {
	part: MessagePart;
	emptyLineBytes: number;
	fieldBytes: number;
	fieldLineCount: number;
	chunkOverheadBytes: number;
	/** Bytes of the line that has begun, without a line feed. */
	lineBytes: number;
	/** Whether that line begins with a carriage return. */
	isReturnFirst: boolean;
	/** Bytes of the body or of the chunk that have not arrived. */
	leftBytes: number;
	chunkSizeBytes: number;
	isChunkSizeRead: boolean;
};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Largest part of a head that the parser gets at once, in bytes. Its lines take many times their bytes. */
const HEAD_SLICE_BYTES = 1024;

/** The same for chunk lines and trailers; larger parts serve uploads in small chunks. */
const CHUNKED_SLICE_BYTES = 4096;

/** A chunk's size of 16 digits and the end of its line. */
const PLAIN_CHUNK_LINE_BYTES = 18;

/** The end of the line behind a chunk. */
const CHUNK_END_BYTES = 2;

const HEX_BASE = 16;

enum LineEnd {
	/** The line goes on behind the scanned bytes. */
	None,
	/** The line has no text. */
	Empty,
	Text,
}

/** Scans up to the end of a line. */
const scanLine = (state: ScanState, bytes: Uint8Array, offset: number): {offset: number; lineEnd: LineEnd} => {
	if (state.lineBytes === 0) {
		state.isReturnFirst = bytes[offset] === CARRIAGE_RETURN;
	}

	const feedOffset = bytes.indexOf(LINE_FEED, offset);
	if (feedOffset === -1) {
		state.lineBytes += bytes.byteLength - offset;
		return {offset: bytes.byteLength, lineEnd: LineEnd.None};
	}

	const lineBytes = state.lineBytes + feedOffset - offset;
	const isEmpty = lineBytes === 0 || (lineBytes === 1 && state.isReturnFirst);
	state.lineBytes = 0;
	return {offset: feedOffset + 1, lineEnd: isEmpty ? LineEnd.Empty : LineEnd.Text};
};

const parseHexDigit = (byte: number): number => Number.parseInt(String.fromCodePoint(byte), HEX_BASE);

/** Reads the digits of a chunk's size from a part of its line. */
const readChunkSize = (state: ScanState, linePart: Uint8Array): void => {
	if (state.isChunkSizeRead) {
		return;
	}

	const endIndex = linePart.findIndex(byte => Number.isNaN(parseHexDigit(byte)));
	const digits = endIndex === -1 ? linePart : linePart.subarray(0, endIndex);
	state.chunkSizeBytes = digits.reduce(
		(sizeBytes, byte) => sizeBytes * HEX_BASE + parseHexDigit(byte),
		state.chunkSizeBytes,
	);
	state.isChunkSizeRead = endIndex !== -1;
};

const startMessage = (state: ScanState): void => {
	state.part = MessagePart.EmptyLines;
	state.emptyLineBytes = 0;
	state.fieldBytes = 0;
	state.fieldLineCount = 0;
	state.chunkOverheadBytes = 0;
	state.lineBytes = 0;
};

const startChunkLine = (state: ScanState): void => {
	state.part = MessagePart.ChunkLine;
	state.chunkSizeBytes = 0;
	state.isChunkSizeRead = false;
};

/** Scans bytes of a body or a chunk, and calls the function at its end. */
const scanData = (state: ScanState, bytes: Uint8Array, offset: number, onEnd: () => void): number => {
	const dataBytes = Math.min(state.leftBytes, bytes.byteLength - offset);
	state.leftBytes -= dataBytes;
	if (state.leftBytes === 0) {
		onEnd();
	}

	return offset + dataBytes;
};

/** Scans some bytes of a part, and changes the part at its end. Each returns the offset behind them. */
type PartScanner = (state: ScanState, bytes: Uint8Array, offset: number) => number;

const PART_SCANNERS: Record<MessagePart, PartScanner> = {
	[MessagePart.EmptyLines](state, bytes, offset) {
		const textIndex = bytes.subarray(offset).findIndex(byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
		const end = textIndex === -1 ? bytes.byteLength : offset + textIndex;
		state.emptyLineBytes += end - offset;
		if (textIndex !== -1) {
			state.part = MessagePart.Head;
		}

		return end;
	},
	[MessagePart.Head](state, bytes, offset) {
		const line = scanLine(state, bytes, offset);
		state.fieldBytes += line.offset - offset;
		state.fieldLineCount += line.lineEnd === LineEnd.Text ? 1 : 0;
		if (line.lineEnd === LineEnd.Empty) {
			state.part = MessagePart.EmptyLines;
		}

		return line.offset;
	},
	[MessagePart.Body]: (state, bytes, offset) =>
		scanData(state, bytes, offset, () => {
			startMessage(state);
		}),
	[MessagePart.ChunkLine](state, bytes, offset) {
		const earlierBytes = state.lineBytes;
		const line = scanLine(state, bytes, offset);
		readChunkSize(state, bytes.subarray(offset, line.offset));
		const lineBytes = earlierBytes + line.offset - offset;
		state.chunkOverheadBytes += Math.max(0, lineBytes - Math.max(earlierBytes, PLAIN_CHUNK_LINE_BYTES));
		if (line.lineEnd !== LineEnd.None) {
			const isLast = state.chunkSizeBytes === 0;
			state.part = isLast ? MessagePart.Trailers : MessagePart.ChunkData;
			state.leftBytes = state.chunkSizeBytes + CHUNK_END_BYTES;
		}

		return line.offset;
	},
	[MessagePart.ChunkData]: (state, bytes, offset) =>
		scanData(state, bytes, offset, () => {
			startChunkLine(state);
		}),
	[MessagePart.Trailers](state, bytes, offset) {
		const line = scanLine(state, bytes, offset);
		const lineBytes = line.offset - offset;
		if (line.lineEnd === LineEnd.Empty) {
			startMessage(state);
			return line.offset;
		}

		state.fieldBytes += lineBytes;
		state.fieldLineCount += line.lineEnd === LineEnd.Text ? 1 : 0;
		state.chunkOverheadBytes += lineBytes;
		return line.offset;
	},
};

const SLICE_BYTES: Record<MessagePart, number> = {
	[MessagePart.EmptyLines]: HEAD_SLICE_BYTES,
	[MessagePart.Head]: HEAD_SLICE_BYTES,
	[MessagePart.Body]: Number.POSITIVE_INFINITY,
	[MessagePart.ChunkLine]: CHUNKED_SLICE_BYTES,
	[MessagePart.ChunkData]: Number.POSITIVE_INFINITY,
	[MessagePart.Trailers]: CHUNKED_SLICE_BYTES,
};

export const createMessageScanner = (): MessageScanner => {
	const state: ScanState = {
		part: MessagePart.EmptyLines,
		emptyLineBytes: 0,
		fieldBytes: 0,
		fieldLineCount: 0,
		chunkOverheadBytes: 0,
		lineBytes: 0,
		isReturnFirst: false,
		leftBytes: 0,
		chunkSizeBytes: 0,
		isChunkSizeRead: false,
	};

	return {
		scan(bytes, offset) {
			let end = offset;
			do {
				const limit = offset + SLICE_BYTES[state.part];
				if (end >= limit) {
					break;
				}

				end = PART_SCANNERS[state.part](state, bytes.subarray(0, limit), end);
			} while (end < bytes.byteLength && state.part !== MessagePart.EmptyLines);

			return end;
		},
		startBody({isChunked, lengthBytes}) {
			startMessage(state);
			if (isChunked) {
				startChunkLine(state);
			} else if (lengthBytes > 0) {
				state.part = MessagePart.Body;
				state.leftBytes = lengthBytes;
			}
		},
		part: () => state.part,
		scanned: () => state,
	};
};

import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type * as undici from 'undici';
import {restoreHeaderBytes} from './restore-header-bytes.js';

const STATUS_LINE_PATTERN = /HTTP\/\d\.\d \d{3}/;

/**
 * Whether a head was put together from two: a faulty target may send the start of an extra answer, and the call's own answer
 * continues its last line.
 */
const containsStatusLine = (texts: ReadonlyArray<string | string[] | undefined>): boolean =>
	texts.flat().some(text => text !== undefined && STATUS_LINE_PATTERN.test(text));

/** Receives one answer. Buffers it up to `bufferLimitBytes`, and turns a larger one into a stream. */
export class AnswerReceiver implements undici.Dispatcher.DispatchHandler {
	/** Whether undici has begun to send the request. */
	isSent = false;
	private controller: undici.Dispatcher.DispatchController | undefined;
	private cancelReason: Error | undefined;
	private status = 0;
	private answerHeaders: domain.HeaderList = [];
	private bufferedChunks: Uint8Array[] = [];
	private sizeBytes = 0;
	private bodyStream: stream.Readable | undefined;

	constructor(
		private readonly bufferLimitBytes: number,
		private readonly finish: (result: neverthrow.Result<domain.TargetAnswer, Error>) => void,
	) {}

	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		this.controller = controller;
		if (this.cancelReason) {
			controller.abort(this.cancelReason);
			return;
		}

		this.isSent = true;
	}

	onResponseStart(
		controller: undici.Dispatcher.DispatchController,
		status: number,
		grouped: Record<string, string | string[] | undefined>,
		statusText = '',
	): void {
		if (containsStatusLine([statusText, ...Object.values(grouped)])) {
			controller.abort(new Error('the head of the answer contains the start of another answer'));
			return;
		}

		this.status = status;
		const answerHeaders = restoreHeaderBytes(grouped);
		if (!answerHeaders) {
			controller.abort(new Error('a header of the answer is not valid UTF-8'));
			return;
		}

		this.answerHeaders = answerHeaders;
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.bodyStream) {
			this.pushToStream(controller, chunk);
			return;
		}

		this.bufferedChunks.push(chunk);
		this.sizeBytes += chunk.byteLength;
		if (this.sizeBytes > this.bufferLimitBytes) {
			this.startStreaming(controller);
		}
	}

	onResponseEnd(): void {
		if (this.bodyStream) {
			this.bodyStream.push(null);
			return;
		}

		this.finish(neverthrow.ok({...this.head(), body: Buffer.concat(this.bufferedChunks)}));
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.bodyStream?.destroy(error);
		this.finish(neverthrow.err(error));
	}

	/** Head of the answer; status 0 and no headers before it has arrived. */
	head(): Pick<domain.TargetAnswer, 'status' | 'headers'> {
		return {status: this.status, headers: this.answerHeaders};
	}

	/** Aborts the exchange. A request that has not been sent yet is not sent afterwards. */
	cancel(reason: Error): void {
		this.cancelReason = reason;
		this.controller?.abort(reason);
	}

	private startStreaming(controller: undici.Dispatcher.DispatchController): void {
		const readable = new stream.Readable({
			read() {
				controller.resume();
			},
		});
		// An answer that is not forwarded is cancelled unread. Without a listener, its error would end the process.
		readable.on('error', () => undefined);
		this.bodyStream = readable;
		this.bufferedChunks.forEach(chunk => {
			this.pushToStream(controller, chunk);
		});
		this.bufferedChunks = [];
		this.finish(neverthrow.ok({...this.head(), body: readable}));
	}

	private pushToStream(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.bodyStream?.push(chunk)) {
			controller.pause();
		}
	}
}

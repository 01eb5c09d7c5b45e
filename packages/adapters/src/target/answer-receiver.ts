import {Buffer} from 'node:buffer';
import * as stream from 'node:stream';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';
import type * as undici from 'undici';
import * as headers from '../http/headers.js';

/** Receives one answer: holds it while it is small, and turns it into a stream when it grows. */
export class AnswerReceiver implements undici.Dispatcher.DispatchHandler {
	isSent = false;
	private controller: undici.Dispatcher.DispatchController | undefined;
	private cancelReason: Error | undefined;
	private status = 0;
	private answerHeaders: domain.HeaderList = [];
	private chunks: Uint8Array[] = [];
	private sizeBytes = 0;
	private overflow: stream.Readable | undefined;

	constructor(
		private readonly limitBytes: number,
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
		_controller: undici.Dispatcher.DispatchController,
		status: number,
		answerHeaders: Record<string, string | string[] | undefined>,
	): void {
		this.status = status;
		this.answerHeaders = headers.listGroupedHeaders(answerHeaders);
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.overflow) {
			this.pushOverflow(controller, chunk);
			return;
		}

		this.chunks.push(chunk);
		this.sizeBytes += chunk.byteLength;
		if (this.sizeBytes > this.limitBytes) {
			this.startOverflow(controller);
		}
	}

	onResponseEnd(): void {
		if (this.overflow) {
			this.overflow.push(null);
			return;
		}

		this.finish(neverthrow.ok({...this.describeHead(), body: Buffer.concat(this.chunks)}));
	}

	onResponseError(_controller: unknown, error: Error): void {
		this.overflow?.destroy(error);
		this.finish(neverthrow.err(error));
	}

	/** Stops the exchange; before the request is sent, it never will be. */
	cancel(reason: Error): void {
		this.cancelReason = reason;
		this.controller?.abort(reason);
	}

	private describeHead(): Pick<domain.TargetAnswer, 'status' | 'headers'> {
		return {status: this.status, headers: this.answerHeaders};
	}

	private startOverflow(controller: undici.Dispatcher.DispatchController): void {
		const overflow = new stream.Readable({
			read() {
				controller.resume();
			},
		});
		this.overflow = overflow;
		this.chunks.forEach(chunk => {
			this.pushOverflow(controller, chunk);
		});
		this.chunks = [];
		this.finish(neverthrow.ok({...this.describeHead(), body: overflow}));
	}

	private pushOverflow(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.overflow?.push(chunk)) {
			controller.pause();
		}
	}
}

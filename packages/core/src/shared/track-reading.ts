import type * as domain from '@bilberrydoor/domain';

/** A body with a record of whether reading has started. */
export type TrackedBody = {
	readonly body: domain.BodyStream;
	/** True until the first chunk is requested or the body is closed. */
	isUnread(): boolean;
};

/** Wraps a body to track whether reading has started. A call can go to another node only while its body is unread. */
export const trackReading = (source: domain.BodyStream): TrackedBody => {
	let isUnread = true;
	return {
		isUnread: () => isUnread,
		body: {
			[Symbol.asyncIterator]() {
				const iterator = source[Symbol.asyncIterator]();
				return {
					async next() {
						isUnread = false;
						return iterator.next();
					},
					async return() {
						isUnread = false;
						await iterator.return?.();
						return {done: true, value: undefined};
					},
				};
			},
		},
	};
};

import type * as domain from '@bilberrydoor/domain';

/** A body and whether anybody has asked for its content. */
export type TrackedBody = {
	readonly body: domain.BodyStream;
	/** True until the first chunk is asked for. */
	isUnread(): boolean;
};

/** Wraps a body so that it is known whether its call can still be given to another node. */
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

import type * as undici from 'undici';
import {passOnHandler} from './pass-on-handler.js';

/** A connection pool that can be taken out of use while it has exchanges under way. */
export type RetirablePool = Pick<undici.Dispatcher, 'dispatch'> & {
	/** Closes the pool as soon as no exchange is left. It must get no further ones. */
	retire(): void;
	destroy(): Promise<void>;
};

/**
 * Undici closes the connections of a pool that was closed with queued requests at each later end of a request. Closing one
 * that is closed already fails in a promise that no caller can reach, which would end the process. The pool is therefore
 * closed only when its queue is empty.
 */
export const createRetirablePool = (dispatcher: undici.Dispatcher): RetirablePool => {
	let exchangeCount = 0;
	let isRetired = false;
	const closeIfUnused = (): void => {
		if (isRetired && exchangeCount === 0) {
			void dispatcher.close();
		}
	};

	const countExchange = (handler: undici.Dispatcher.DispatchHandler): undici.Dispatcher.DispatchHandler => {
		const passOn = passOnHandler(handler);
		exchangeCount++;
		let isEnded = false;
		const end = (): void => {
			if (!isEnded) {
				isEnded = true;
				exchangeCount--;
				closeIfUnused();
			}
		};

		return {
			...passOn,
			onResponseEnd(controller, trailers) {
				passOn.onResponseEnd(controller, trailers);
				end();
			},
			onResponseError(controller, error) {
				passOn.onResponseError(controller, error);
				end();
			},
		};
	};

	return {
		dispatch: (dispatchOptions, handler) => dispatcher.dispatch(dispatchOptions, countExchange(handler)),
		retire() {
			isRetired = true;
			closeIfUnused();
		},
		destroy: async () => dispatcher.destroy(),
	};
};

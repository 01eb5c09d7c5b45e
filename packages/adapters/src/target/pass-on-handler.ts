import type * as undici from 'undici';

type Handler = undici.Dispatcher.DispatchHandler;

/** Builds a handler that passes all events on. Interceptors replace the ones that they change. */
export const passOnHandler = (handler: Handler) =>
	({
		onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
		onRequestUpgrade: (controller, status, headers, socket) =>
			handler.onRequestUpgrade?.(controller, status, headers, socket),
		onResponseStart: (controller, status, headers, message) =>
			handler.onResponseStart?.(controller, status, headers, message),
		onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
		onResponseEnd: (controller, trailers) => handler.onResponseEnd?.(controller, trailers),
		onResponseError: (controller, error) => handler.onResponseError?.(controller, error),
	}) satisfies Handler;

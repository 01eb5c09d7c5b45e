import type * as domain from '@bilberrydoor/domain';

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Prefix of the headers that the fleet itself sets. They are not forwarded from callers or targets. */
const FLEET_HEADER_PREFIX = 'bilberrydoor-';

/** Converts raw headers of Node.js, a flat list of names and values, to pairs with names in lower case. */
export const pairRawHeaders = (raw: readonly string[]): domain.HeaderList =>
	raw.flatMap((name, index) => (index % 2 === 0 ? [[name.toLowerCase(), raw[index + 1]!] as const] : []));

export const findHeader = (headers: domain.HeaderList, name: string): string | undefined =>
	headers.find(([candidate]) => candidate === name)?.[1];

/** Returns the headers without hop-by-hop headers, those named in `Connection`, and the fleet's own. */
export const selectForwardableHeaders = (headers: domain.HeaderList): domain.HeaderList => {
	const connectionOptions = new Set(
		headers
			.filter(([name]) => name === 'connection')
			.flatMap(([, value]) => value.split(',').map(token => token.trim().toLowerCase())),
	);
	return headers.filter(
		([name]) => !HOP_BY_HOP_HEADERS.has(name) && !connectionOptions.has(name) && !name.startsWith(FLEET_HEADER_PREFIX),
	);
};

/** Groups values by name, in the form that `writeHead` and undici accept. */
export const groupHeaders = (headers: domain.HeaderList): Record<string, string | string[]> => {
	const valuesByName = new Map<string, string[]>();
	headers.forEach(([name, value]) => {
		const values = valuesByName.get(name);
		if (values) {
			values.push(value);
		} else {
			valuesByName.set(name, [value]);
		}
	});
	return Object.fromEntries(
		[...valuesByName].map(([name, values]) => [name, values.length === 1 ? values[0]! : values]),
	);
};

/** Converts grouped headers to pairs of name and value. */
export const listGroupedHeaders = (
	grouped: Readonly<Record<string, string | string[] | undefined>>,
): domain.HeaderList =>
	Object.entries(grouped).flatMap(([name, value]) =>
		value === undefined ? [] : [value].flat().map(single => [name.toLowerCase(), single] as const),
	);

import type * as domain from '@bilberrydoor/domain';

/** Headers that concern one connection only and are never passed on. */
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

/** Prefix of the headers that the fleet sets itself; callers and targets cannot set them for others. */
const OWN_HEADER_PREFIX = 'bilberrydoor-';

/** Pairs a flat list of names and values, as Node.js gives raw headers. */
export const pairRawHeaders = (raw: readonly string[]): domain.HeaderList =>
	raw.flatMap((name, index) => (index % 2 === 0 ? [[name.toLowerCase(), raw[index + 1]!] as const] : []));

export const findHeader = (headers: domain.HeaderList, name: string): string | undefined =>
	headers.find(([candidate]) => candidate === name)?.[1];

/** Removes hop-by-hop headers, those that `Connection` names, and the fleet's own. */
export const removeHopHeaders = (headers: domain.HeaderList): domain.HeaderList => {
	const named = new Set(
		headers
			.filter(([name]) => name === 'connection')
			.flatMap(([, value]) => value.split(',').map(token => token.trim().toLowerCase())),
	);
	return headers.filter(
		([name]) => !HOP_BY_HOP_HEADERS.has(name) && !named.has(name) && !name.startsWith(OWN_HEADER_PREFIX),
	);
};

/** Groups values by name, as `writeHead` and undici take them. */
export const groupHeaders = (headers: domain.HeaderList): Record<string, string | string[]> => {
	const grouped: Record<string, string | string[]> = {};
	headers.forEach(([name, value]) => {
		const existing = grouped[name];
		grouped[name] = existing === undefined ? value : [existing, value].flat();
	});
	return grouped;
};

/** Lists grouped headers as pairs. */
export const listGroupedHeaders = (
	grouped: Readonly<Record<string, string | string[] | undefined>>,
): domain.HeaderList =>
	Object.entries(grouped).flatMap(([name, value]) =>
		value === undefined ? [] : [value].flat().map(single => [name.toLowerCase(), single] as const),
	);

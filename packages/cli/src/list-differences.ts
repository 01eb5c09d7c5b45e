/** One difference between two entries. */
export type Difference = {
	/** Place in the entry, such as `targets.malipo-03.slotCount`. */
	readonly path: string;
	/** Absent when the value was added. */
	readonly before?: unknown;
	/** Absent when the value was removed. */
	readonly after?: unknown;
};

const isRecord = (value: unknown): value is Record<string, unknown> => value !== null && typeof value === 'object';

/** Targets and routes are compared by name, so that an inserted one does not shift all others. */
const buildElementKey = (element: unknown, index: number): string => {
	if (!isRecord(element)) {
		return String(index);
	}

	const {targetId, pathPrefix, methods} = element;
	const route = typeof pathPrefix === 'string' ? `${[methods].flat().join(',')} ${pathPrefix}` : String(index);
	return typeof targetId === 'string' ? targetId : route;
};

const listMembers = (value: unknown): ReadonlyMap<string, unknown> =>
	Array.isArray(value)
		? new Map(value.map((element, index) => [buildElementKey(element, index), element as unknown]))
		: new Map(isRecord(value) ? Object.entries(value) : []);

/** Lists where two values differ, leaf by leaf. */
export const listDifferences = (before: unknown, after: unknown, path = ''): Difference[] => {
	if (!isRecord(before) || !isRecord(after)) {
		return before === after ? [] : [{path, before, after}];
	}

	const left = listMembers(before);
	const right = listMembers(after);
	const keys = [...new Set([...left.keys(), ...right.keys()])];
	return keys.flatMap(key => listDifferences(left.get(key), right.get(key), path === '' ? key : `${path}.${key}`));
};

const formatValue = (value: unknown): string => (value === undefined ? 'nothing' : JSON.stringify(value));

export const formatDifference = ({path, before, after}: Difference): string =>
	`  ${path || 'entry'}: ${formatValue(before)} -> ${formatValue(after)}`;

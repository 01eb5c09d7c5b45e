import * as jsonc from 'jsonc-parser';
import * as neverthrow from 'neverthrow';
import * as tsPattern from 'ts-pattern';
import type * as zod from 'zod';

/** One problem in a settings or entry file. */
export type DocumentProblem = {
	readonly fileName: string;
	/** Line in the file, from 1. */
	readonly line: number;
	readonly message: string;
};

/** Text of a problem: `settings.jsonc:12: queue.limitCount must be …, got "many"`. */
export const formatProblem = (problem: DocumentProblem): string =>
	`${problem.fileName}:${problem.line}: ${problem.message}`;

const computeLineNumber = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

const describeValue = (value: unknown): string => (value === undefined ? 'nothing' : JSON.stringify(value));

const readValueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
	path.reduce<unknown>(
		(value, key) =>
			value !== null && typeof value === 'object' ? (value as Record<PropertyKey, unknown>)[key] : undefined,
		root,
	);

const describeIssue = (issue: zod.core.$ZodIssue): string =>
	tsPattern
		.match(issue)
		.with({code: 'unrecognized_keys'}, ({keys}) => {
			const noun = keys.length > 1 ? 'fields' : 'field';
			return `must not have the unknown ${noun} ${keys.join(', ')}`;
		})
		.with({code: 'invalid_type'}, ({expected}) => `must be of type ${expected}`)
		.with(
			{code: 'invalid_value'},
			({values}) => `must be one of ${values.map(value => JSON.stringify(value)).join(', ')}`,
		)
		.with({code: 'too_small', origin: tsPattern.P.not('array')}, ({minimum}) => `must be at least ${String(minimum)}`)
		.with({code: 'too_big', origin: tsPattern.P.not('array')}, ({maximum}) => `must be at most ${String(maximum)}`)
		.otherwise(({message}) => message);

const findIssueLine = (text: string, tree: jsonc.Node | undefined, path: readonly PropertyKey[]): number => {
	const parents = path.map((_, index) => path.slice(0, path.length - index));
	const node = parents
		.map(parent => tree && jsonc.findNodeAtLocation(tree, parent as jsonc.JSONPath))
		.find(found => found !== undefined);
	return computeLineNumber(text, node?.offset ?? tree?.offset ?? 0);
};

/** Parses JSON with comments and validates it, or returns each problem with its line. */
export const parseDocument = <Schema extends zod.ZodType>(options: {
	fileName: string;
	text: string;
	schema: Schema;
}): neverthrow.Result<zod.output<Schema>, readonly DocumentProblem[]> => {
	const {fileName, text, schema} = options;
	const syntaxErrors: jsonc.ParseError[] = [];
	const value: unknown = jsonc.parse(text, syntaxErrors, {allowTrailingComma: true});
	if (syntaxErrors.length > 0) {
		return neverthrow.err(
			syntaxErrors.map(error => ({
				fileName,
				line: computeLineNumber(text, error.offset),
				message: `is not JSON with comments: ${jsonc.printParseErrorCode(error.error)}`,
			})),
		);
	}

	const parsed = schema.safeParse(value);
	if (parsed.success) {
		return neverthrow.ok(parsed.data);
	}

	const tree = jsonc.parseTree(text);
	return neverthrow.err(
		parsed.error.issues.map(issue => ({
			fileName,
			line: findIssueLine(text, tree, issue.path),
			message: `${issue.path.join('.') || 'the document'} ${describeIssue(issue)}, got ${describeValue(readValueAt(value, issue.path))}`,
		})),
	);
};

import * as fs from 'node:fs/promises';
import * as adapters from '@bilberrydoor/adapters';
import type * as domain from '@bilberrydoor/domain';
import * as neverthrow from 'neverthrow';

/** An entry with the file that it was read from. */
export type EntryFile = {readonly fileName: string; readonly entry: domain.CatalogueEntry};

/** Reads and validates one entry file. Errors name file and line. */
export const loadEntryFile = async (fileName: string): Promise<neverthrow.Result<EntryFile, readonly string[]>> => {
	try {
		const text = await fs.readFile(fileName, 'utf8');
		return adapters
			.parseDocument({fileName, text, schema: adapters.catalogueEntrySchema})
			.map(entry => ({fileName, entry}))
			.mapErr(problems => problems.map(adapters.formatProblem));
	} catch (error) {
		return neverthrow.err([`${fileName}: cannot be read: ${String(error)}`]);
	}
};

const describeRoutes = ({fileName, entry}: EntryFile): Array<{key: string; fileName: string}> =>
	entry.routes.flatMap(route => route.methods.map(method => ({key: `${method} ${route.pathPrefix}`, fileName})));

/** Finds services and routes that are declared more than once in the files. */
export const findConflicts = (files: readonly EntryFile[]): string[] => {
	const declarations = files.flatMap(file => [
		{key: `service ${file.entry.service}`, fileName: file.fileName},
		...describeRoutes(file),
	]);
	const firstByKey = new Map<string, string>();
	return declarations.flatMap(({key, fileName}) => {
		const firstFileName = firstByKey.get(key);
		firstByKey.set(key, firstFileName ?? fileName);
		return firstFileName === undefined ? [] : [`${fileName}: ${key} is also in ${firstFileName}`];
	});
};

/** Loads all files. The error lists every problem in them. */
export const loadEntryFiles = async (
	fileNames: readonly string[],
): Promise<neverthrow.Result<readonly EntryFile[], readonly string[]>> => {
	const loaded = await Promise.all(fileNames.map(loadEntryFile));
	const problems = loaded.flatMap(result => (result.isErr() ? result.error : []));
	const files = loaded.flatMap(result => (result.isOk() ? [result.value] : []));
	const allProblems = [...problems, ...findConflicts(files)];
	return allProblems.length > 0 ? neverthrow.err(allProblems) : neverthrow.ok(files);
};

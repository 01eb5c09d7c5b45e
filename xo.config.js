const forbiddenInCore = [
	{group: ['@bilberrydoor/*', '!@bilberrydoor/domain'], message: 'core depends on domain and its own ports only.'},
	{group: ['node:*'], message: 'core reaches the platform through ports only.'},
	{
		group: ['undici', 'hono', 'hono/*', '@hono/*', '@trpc/*', 'zod', 'jsonc-parser', 'prom-client', 'winston'],
		message: 'core knows no codec, transport or exporter.',
	},
];

const forbiddenTimers = [
	'setTimeout',
	'setInterval',
	'setImmediate',
	'queueMicrotask',
	'performance',
	'fetch',
	'process',
	'Buffer',
	'JSON',
].map(name => ({
	name,
	message: 'core uses the Clock port and the other ports instead.',
}));

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**']},
	{
		prettier: 'compat',
		semicolon: true,
		rules: {
			// The house style asks for array methods, and these rules forbid several of them.
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// The house style asks for namespace imports.
			'unicorn/import-style': 'off',
			'import-x/no-namespace': 'off',
			'import-x/namespace': 'off',
			// Work on a connection or peer is sequential by design, so awaiting in a loop is the rule and not a slip.
			'no-await-in-loop': 'off',
			// Enum-keyed tables and header names need keys that are not camelCase.
			'@typescript-eslint/naming-convention': 'off',
			// Field names with unit suffixes and the usual short names of Node.js code read better unexpanded.
			'unicorn/prevent-abbreviations': 'off',
			// The compiler already checks these, and the typed lint rules double the lint time.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// The branch type is not available before the packages are built, and lint runs first.
			'import-x/no-unresolved': 'off',
			// Parameters that carry one option object are readonly by convention.
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			// Ports report absence as undefined; void-returning arrow handlers are common in tables.
			'@typescript-eslint/no-confusing-void-expression': 'off',
			// Programs and measures end with an explicit exit code.
			'unicorn/no-process-exit': 'off',
			'capitalized-comments': 'off',
			// Lazily imported programs are named in one-line tables.
			'unicorn/no-await-expression-member': 'off',
			// The tests run compiled, so the linter sees them outside the pattern that ava is given.
			'ava/no-ignored-test-files': 'off',
			'max-lines': ['error', {max: 330, skipBlankLines: true, skipComments: true}],
		},
	},
	{
		files: ['packages/core/src/**/*.ts'],
		ignores: ['packages/core/src/**/__tests__/**'],
		rules: {
			'no-restricted-imports': 'off',
			'@typescript-eslint/no-restricted-imports': ['error', {patterns: forbiddenInCore}],
			'no-restricted-globals': ['error', ...forbiddenTimers],
			'no-restricted-properties': [
				'error',
				{object: 'Math', property: 'random', message: 'core uses the Random port.'},
				{object: 'Date', property: 'now', message: 'core uses the Clock port.'},
			],
		},
	},
	{
		// Hash functions and random generators work on bits.
		files: ['packages/core/src/routing/rendezvous-ranking.ts', 'packages/fakes/src/seeded-random.ts'],
		rules: {'no-bitwise': 'off'},
	},
	{
		files: ['packages/{adapters,cli,fakes,measures,stand-ins}/src/**/*.ts', 'packages/daemon/src/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-imports': [
				'error',
				{patterns: [{group: ['@bilberrydoor/platform'], message: 'only the wiring program knows the platform.'}]},
			],
		},
	},
	{
		files: ['packages/domain/src/**/*.ts'],
		rules: {
			'@typescript-eslint/no-restricted-imports': [
				'error',
				{patterns: [{group: ['@bilberrydoor/*', 'node:*'], message: 'domain knows nothing else.'}]},
			],
		},
	},
];

export default config;

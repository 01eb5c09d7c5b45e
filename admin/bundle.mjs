// Bundles the program of the fleet's nodes into one file, so that a node loads a single module at startup.
import * as esbuild from 'esbuild';

await esbuild.build({
	entryPoints: ['packages/daemon/dist/fleet/bilberryd-fleet.js'],
	outfile: 'target/bilberrydoor.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Reduces the source kept in memory. Identifiers are not minified, so that stack traces stay readable.
	minifySyntax: true,
	minifyWhitespace: true,
	// Bundlers cannot follow how the UMD build of jsonc-parser loads its modules.
	mainFields: ['module', 'main'],
	legalComments: 'none',
	// CommonJS libraries in the bundle still call `require` for built-in Node.js modules.
	banner: {js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);"},
});

// Bundles the fleet's program into one file, so that a node loads one module at its start.
import * as esbuild from 'esbuild';

await esbuild.build({
	entryPoints: ['packages/daemon/dist/fleet/bilberryd-fleet.js'],
	outfile: 'target/bilberrydoor.mjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Less source to keep in memory; names stay, so that stack traces can be read.
	minifySyntax: true,
	minifyWhitespace: true,
	// The UMD build of jsonc-parser loads its parts in a way that bundlers do not follow.
	mainFields: ['module', 'main'],
	legalComments: 'none',
	// CommonJS libraries in the bundle still call require for Node.js modules.
	banner: {js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);"},
});

#!/usr/bin/env node
import process from 'node:process';
import {buildProgram} from './build-program.js';

await buildProgram({
	writeOutput(text) {
		process.stdout.write(text);
	},
	writeError(text) {
		process.stderr.write(text);
	},
	finish(exitCode) {
		process.exitCode = exitCode;
	},
}).parseAsync();

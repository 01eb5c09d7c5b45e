export * from './build-program.js';
export * from './command-table.js';
export type * from './command.js';
export * from './exit-code.js';
export * from './node-client.js';

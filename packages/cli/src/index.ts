export * from './commands/apply-entries.js';
export * from './node-client.js';

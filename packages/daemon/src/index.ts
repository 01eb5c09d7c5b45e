export * from './load-settings.js';
export * from './run-daemon.js';

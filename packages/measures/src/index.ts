export type * from './measure.js';
export * from './link-blocking.js';

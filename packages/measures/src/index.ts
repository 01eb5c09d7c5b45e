export type * from './measure.js';

export * from './log/log-app.js';
export * from './log/log-stream.js';
export * from './target/target-app.js';
export * from './vm-list/vm-list-app.js';
export * from './launch/launch-fleet.js';
export * from './launch/launched-process.js';
export * from './demo/demo-catalogue.js';
export * from './demo/send-call.js';

import config from './ava.config.js';

/** Tests that measure the memory of processes under load. They run one at a time and beside no other test. */
const aloneConfig = {
	...config,
	files: ['packages/*/dist/**/__tests__/**/*.alone.test.js'],
	concurrency: 1,
};

export default aloneConfig;

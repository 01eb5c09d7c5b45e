const config = {
	files: [
		'packages/*/dist/__tests__/**/*.test.js',
		'packages/*/dist/**/__tests__/**/*.test.js',
		'platform/dist/__tests__/**/*.test.js',
		// These run after the others, see ava.alone.config.js.
		'!**/*.alone.test.js',
	],
	nodeArguments: ['--enable-source-maps'],
	// A busy machine slows all test files alike, so the limit is generous.
	timeout: '120s',
	concurrency: 4,
};

export default config;

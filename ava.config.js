const config = {
	files: ['packages/*/dist/__tests__/**/*.test.js', 'packages/*/dist/**/__tests__/**/*.test.js'],
	nodeArguments: ['--enable-source-maps'],
	timeout: '60s',
};

export default config;

import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import process from 'node:process';
import * as url from 'node:url';

/** A child process of the demo, a test or a measurement. */
export type LaunchedProcess = {
	readonly child: childProcess.ChildProcess;
	/** First line of standard output; empty when the program ended without one. */
	readonly firstLine: Promise<string>;
	/** Sends a signal and resolves with the exit code, or null when a signal ended the process. */
	stop(signal?: NodeJS.Signals): Promise<number | undefined>;
};

const findScript = (relativePath: string): string => url.fileURLToPath(new URL(relativePath, import.meta.url));

/** Compiled programs that can be launched. */
export const SCRIPTS = {
	daemon: findScript('../../../daemon/dist/bilberryd.js'),
	cli: findScript('../../../cli/dist/bilberryctl.js'),
	standIn: findScript('../run-stand-in.js'),
};

export const launchProcess = (
	script: string,
	args: readonly string[],
	options: {isQuiet?: boolean} = {},
): LaunchedProcess => {
	const child = childProcess.spawn(process.execPath, [script, ...args], {
		stdio: ['ignore', 'pipe', options.isQuiet ? 'ignore' : 'inherit'],
	});
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', resolve);
	});
	const firstLine = new Promise<string>(resolve => {
		let text = '';
		child.stdout.on('data', (chunk: Uint8Array) => {
			text += chunk.toString();
			if (text.includes('\n')) {
				resolve(text.split('\n')[0]!);
			}
		});
		child.once('exit', () => {
			resolve('');
		});
	});
	return {
		child,
		firstLine,
		async stop(signal = 'SIGTERM') {
			child.kill(signal);
			return exited;
		},
	};
};

/** Runs a program until it exits. */
export const runUntilExit = async (
	script: string,
	args: readonly string[],
): Promise<{exitCode: number | undefined; output: string}> =>
	new Promise(resolve => {
		childProcess.execFile(process.execPath, [script, ...args], (error, stdout, stderr) => {
			resolve({exitCode: error ? Number(error.code ?? 1) : 0, output: stdout + stderr});
		});
	});

/** Returns a free port that the operating system has chosen. */
export const findFreePort = async (host: string): Promise<number> =>
	new Promise((resolve, reject) => {
		const server = net.createServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const {port} = server.address() as net.AddressInfo;
			server.close(() => {
				resolve(port);
			});
		});
	});

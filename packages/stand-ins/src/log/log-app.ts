import * as timersPromises from 'node:timers/promises';
import * as hono from 'hono';
import type * as adapters from '@bilberrydoor/adapters';
import {createLogStream, type LogStream, type LogStreamOptions} from './log-stream.js';

/** Faults of the log service. */
export enum LogFault {
	None = 'none',
	/** Answers 503 to everything. */
	Down = 'down',
	/** Stores appends but closes the connection instead of answering them. */
	LoseAppendAnswers = 'lose-append-answers',
	/** Answers only after `SLOW_ANSWER_MS`; appends take effect at once. */
	Slow = 'slow',
	/** Stores each append twice, as happens behind a proxy that retries requests. */
	DuplicateAppends = 'duplicate-appends',
}

/** Longer than the timeout of any client. */
const SLOW_ANSWER_MS = 60_000;

const parseNumber = (text: string | undefined, fallback: number): number =>
	text === undefined || text === '' ? fallback : Number(text);

/** Stand-in for the platform's log service. `PUT /fault/<fault>` sets a fault. */
export const createLogApp = (options: Partial<LogStreamOptions> = {}): hono.Hono<adapters.NodeBindings> => {
	const app = new hono.Hono<adapters.NodeBindings>();
	const streams = new Map<string, LogStream>();
	let fault = LogFault.None;

	const getOrCreateStream = (name: string): LogStream => {
		const stream = streams.get(name) ?? createLogStream(options);
		streams.set(name, stream);
		return stream;
	};

	app.put('/fault/:fault', context => {
		fault = context.req.param('fault') as LogFault;
		return context.json({fault});
	});
	app.use('/streams/*', async (context, next) =>
		fault === LogFault.Down ? context.json({error: 'unavailable'}, 503) : next(),
	);
	const delayAnswerIfSlow = async (): Promise<void> =>
		fault === LogFault.Slow ? timersPromises.setTimeout(SLOW_ANSWER_MS, undefined, {ref: false}) : undefined;

	app.post('/streams/:stream/records', async context => {
		const stream = getOrCreateStream(context.req.param('stream'));
		const value: unknown = await context.req.json();
		const offset = stream.append(value);
		if (fault === LogFault.DuplicateAppends) {
			stream.append(value);
		}

		await delayAnswerIfSlow();
		if (fault === LogFault.LoseAppendAnswers) {
			context.env.outgoing.destroy();
		}

		return context.json({offset}, 201);
	});
	app.get('/streams/:stream/records', async context => {
		const stream = getOrCreateStream(context.req.param('stream'));
		const from = parseNumber(context.req.query('from'), 0);
		const bounds = () => ({firstOffset: stream.firstOffset(), endOffset: stream.endOffset()});
		if (from < stream.firstOffset()) {
			return context.json({...bounds(), records: []}, 410);
		}

		const limit = parseNumber(context.req.query('limit'), 100);
		const records = await stream.read(from, limit, parseNumber(context.req.query('waitMs'), 0));
		await delayAnswerIfSlow();
		return context.json({...bounds(), records});
	});
	return app;
};

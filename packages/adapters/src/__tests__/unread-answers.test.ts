import * as events from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import type {ClientLimit} from '../http/client-limits.js';
import {createUnreadAnswers} from '../http/unread-answers.js';

const LIMIT_BYTES = 1_000_000;
const BODY_BYTES = 30_000;
const ANSWER_BYTES = 200_000;

/** An answer on a connection of its own that is not read. */
const createAnswer = () => {
	const socket = new net.Socket();
	return {
		socket,
		outgoing: Object.assign(new events.EventEmitter(), {req: {socket}}) as unknown as http.ServerResponse,
	};
};

const createAnswers = () => {
	const held = core.createHeldBytes({limitBytes: LIMIT_BYTES});
	const reached: ClientLimit[] = [];
	const answers = createUnreadAnswers({
		held,
		stalledLimitMs: 0,
		noteLimit(limit) {
			reached.push(limit);
		},
	});
	return {held, reached, answers};
};

// Guards against answers of callers that read them, which are cut off while uploads hold the memory.
test('no connection is closed for an answer when other kinds have taken the memory', t => {
	const {held, reached, answers} = createAnswers();
	while (held.reserve(core.HeldKind.Upload, BODY_BYTES));
	const [first, second] = [createAnswer(), createAnswer()];
	answers.hold(first.outgoing, BODY_BYTES);
	answers.hold(second.outgoing, ANSWER_BYTES);
	answers.hold(createAnswer().outgoing, ANSWER_BYTES);
	t.deepEqual([first.socket.destroyed, second.socket.destroyed], [false, false]);
	t.deepEqual(reached, []);
});

// Guards against answers that are kept for callers which read nothing.
test('the connection with the most unread bytes is closed when the share of answers is full', t => {
	const {answers} = createAnswers();
	const [small, large] = [createAnswer(), createAnswer()];
	answers.hold(small.outgoing, BODY_BYTES);
	answers.hold(large.outgoing, 2 * ANSWER_BYTES);
	answers.hold(createAnswer().outgoing, ANSWER_BYTES);
	t.deepEqual([small.socket.destroyed, large.socket.destroyed], [false, true]);
});

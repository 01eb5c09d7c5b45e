import * as net from 'node:net';
import * as timersPromises from 'node:timers/promises';
import * as core from '@bilberrydoor/core';
import test from 'ava';
import {createReadAheadRoom} from '../http/read-ahead-room.js';

const LIMIT_BYTES = 1_000_000;

/** Within a fifth of the budget. */
const SHARE_BYTES = 200_000;
const LARGE_BYTES = 30_000;
const SMALL_BYTES = 10_000;

const createRoom = () => {
	const held = core.createHeldBytes({limitBytes: LIMIT_BYTES});
	let closedCount = 0;
	const room = createReadAheadRoom({
		held,
		onClose() {
			closedCount++;
		},
	});
	return {held, room, countClosed: () => closedCount};
};

type Room = ReturnType<typeof createRoom>['room'];

/** Opens connections that fill the share, the first of them with more than the others. */
const fillShare = async (room: Room) => {
	const largest = new net.Socket();
	room.reserve(largest, LARGE_BYTES);
	room.reserve(largest, LARGE_BYTES);
	const others = Array.from({length: (SHARE_BYTES - 2 * LARGE_BYTES) / SMALL_BYTES}, () => new net.Socket());
	others.forEach(socket => {
		room.reserve(socket, SMALL_BYTES);
	});
	// What a connection has used grows with time.
	await timersPromises.setTimeout(5);
	return {largest, others};
};

// Guards against a caller that is cut off since others have filled the share.
test('a new connection finds room, and the one that has taken most is closed', async t => {
	const {room, countClosed} = createRoom();
	const {largest, others} = await fillShare(room);
	t.truthy(room.reserve(new net.Socket(), SMALL_BYTES));
	t.true(largest.destroyed);
	t.true(others.every(({destroyed}) => !destroyed));
	t.is(countClosed(), 1);
});

// Guards against a connection that displaces all others.
test('the connection that has taken most gets no more, and no other is closed', async t => {
	const {room, countClosed} = createRoom();
	const {largest, others} = await fillShare(room);
	t.is(room.reserve(largest, SMALL_BYTES), undefined);
	t.true(others.every(({destroyed}) => !destroyed));
	t.is(countClosed(), 0);
});

// Guards against connections that are closed although that makes no room.
test('no connection is closed when other kinds have taken the memory', async t => {
	const {held, room, countClosed} = createRoom();
	room.reserve(new net.Socket(), LARGE_BYTES);
	await timersPromises.setTimeout(5);
	while (held.reserve(core.HeldKind.Upload, SMALL_BYTES));
	while (held.reserve(core.HeldKind.Answer, SMALL_BYTES));
	t.is(room.reserve(new net.Socket(), SMALL_BYTES), undefined);
	t.is(countClosed(), 0);
});

// Guards against memory that is counted on after a connection has been closed or has released it.
test('what is released is free again', async t => {
	const {held, room} = createRoom();
	await fillShare(room);
	const hold = room.reserve(new net.Socket(), SMALL_BYTES)!;
	const usedRatio = held.usedRatio();
	hold.release();
	hold.release();
	t.true(Math.abs(usedRatio - held.usedRatio() - SMALL_BYTES / LIMIT_BYTES) < 1e-9);
});

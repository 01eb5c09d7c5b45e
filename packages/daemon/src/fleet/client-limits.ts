import * as v8 from 'node:v8';
import type * as adapters from '@bilberrydoor/adapters';
import type * as core from '@bilberrydoor/core';
import type * as platform from '@bilberrydoor/platform';

const BYTES_PER_MB = 1_048_576;

/** Memory of a process without what it holds for callers: 93 MB were measured with 290 connections, and a larger heap adds to it. */
const BASE_BYTES = 130 * BYTES_PER_MB;

/** Part of the remaining memory that is held for callers. What they send takes about as much again while it is handled. */
const HELD_RATIO = 0.4;
const HELD_MINIMUM_BYTES = 8 * BYTES_PER_MB;

/** Part of the heap for requests at work. The registry, and the garbage of what is parsed and refused, need room too. */
const REQUEST_HEAP_RATIO = 0.1;

/**
 * Part of the descriptors for callers: 3,000 of the 4,100 of the smallest machines. The others are for targets, peers and the
 * store.
 */
const CALLER_DESCRIPTOR_RATIO = 0.73;

/** Memory that each of many idle connections takes at most, in bytes: 8 KB were measured, and 19 KB with 15 KB of a head. */
const CONNECTION_BYTES = 32_768;

/** Part of the machine's memory that idle connections may take: 3,200 connections at 250 MB. */
const CONNECTION_MEMORY_RATIO = 0.4;

/** Bytes that the node holds for callers at most: bodies that wait, answers that are not read, and requests at work. */
export const deriveHeldBytesOptions = ({memoryBytes}: platform.PlatformSettings): core.HeldBytesOptions => ({
	limitBytes: Math.max(HELD_MINIMUM_BYTES, (memoryBytes - BASE_BYTES) * HELD_RATIO),
	requestLimitBytes: v8.getHeapStatistics().heap_size_limit * REQUEST_HEAP_RATIO,
});

export const deriveClientLimits = (settings: platform.PlatformSettings): adapters.ClientLimits => ({
	connectionLimitCount: Math.floor(
		Math.min(
			settings.descriptorLimitCount * CALLER_DESCRIPTOR_RATIO,
			(settings.memoryBytes * CONNECTION_MEMORY_RATIO) / CONNECTION_BYTES,
		),
	),
	readAheadLimitCount: settings.readAheadLimitCount,
	headerLineLimitCount: settings.headerLineLimitCount,
	stalledLimitMs: settings.stalledLimitMs,
});

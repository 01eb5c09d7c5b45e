import * as neverthrow from 'neverthrow';

/** Settings of the decisions between availability zones and between regions. */
export type ZoneOptions = {
	/** Price of a kilobyte that crosses between regions, in ms of delay that are as bad for a caller. */
	readonly regionPriceMsPerKb: number;
	/** Price of a kilobyte that crosses between zones of a region, in ms of delay that are as bad for a caller. */
	readonly zonePriceMsPerKb: number;
	/** Loss of a call that is answered after its latency objective, in ms. */
	readonly lateLossMs: number;
	/** Loss of a call that is not answered before its deadline, in ms, in addition to that of a late one. */
	readonly missedLossMs: number;
	/** Loss of each ms until an answer that meets its objective. */
	readonly delayWeight: number;
	/** How much more staying must lose than leaving before a node begins to send calls to another region. */
	readonly beginFactor: number;
	/** Part of a node's calls that may go to other regions although their own region could still serve them. */
	readonly shareLimit: number;
	/** Capacity of the link between two regions in one direction, in bytes a second. */
	readonly linkBytesPerSecond: number;
	/** Part of the link that calls may use although their own region could still serve them. */
	readonly linkRatio: number;
	/** Part of the link that calls may use which their own region cannot serve. */
	readonly linkRatioLimit: number;
	/** Largest part of a group's slots that is kept free for the calls of its own region. */
	readonly regionReserveRatio: number;
	/** Largest part of a zone's slots that is kept free for the calls of its own zone. */
	readonly zoneReserveRatio: number;
	/** Time after which a call that waits takes a slot that is reserved for callers of another zone, in ms. */
	readonly zoneReserveHoldMs: number;
};

/**
 * The losses are in proportion to the prices of the platform (journal entry e8fd6ca7): a late call loses about one call's worth,
 * 1 KB between regions costs about 0.04 of it, and 1 KB between zones about 0.005.
 */
export const DEFAULT_ZONE_OPTIONS: ZoneOptions = {
	regionPriceMsPerKb: 40,
	zonePriceMsPerKb: 5,
	lateLossMs: 1000,
	missedLossMs: 500,
	delayWeight: 0.3,
	beginFactor: 1.3,
	shareLimit: 0.5,
	// 42 Mbit/s.
	linkBytesPerSecond: 5_250_000,
	linkRatio: 0.5,
	linkRatioLimit: 0.9,
	// Two or three slots are enough to keep a group's own callers from being refused because of others.
	regionReserveRatio: 0.06,
	zoneReserveRatio: 0.05,
	// With 400 ms, reserved slots stood free long enough to serve one call in 100 fewer.
	zoneReserveHoldMs: 100,
};

const isRatio = (value: number): boolean => value >= 0 && value <= 1;
const isAtLeastZero = (value: number): boolean => value >= 0;

type Check = {readonly isValid: (value: number) => boolean; readonly expected: string};

const RATIO: Check = {isValid: isRatio, expected: 'a number from 0 to 1'};
const AT_LEAST_ZERO: Check = {isValid: isAtLeastZero, expected: 'a number of at least 0'};

const CHECKS: Record<keyof ZoneOptions, Check> = {
	regionPriceMsPerKb: AT_LEAST_ZERO,
	zonePriceMsPerKb: AT_LEAST_ZERO,
	lateLossMs: AT_LEAST_ZERO,
	missedLossMs: AT_LEAST_ZERO,
	delayWeight: AT_LEAST_ZERO,
	beginFactor: {isValid: value => value >= 1, expected: 'a number of at least 1'},
	shareLimit: RATIO,
	linkBytesPerSecond: {isValid: value => value > 0, expected: 'a number above 0'},
	linkRatio: RATIO,
	linkRatioLimit: RATIO,
	regionReserveRatio: RATIO,
	zoneReserveRatio: RATIO,
	zoneReserveHoldMs: AT_LEAST_ZERO,
};

/** Completes options with the defaults. Errors name the field, the invalid value and what is expected. */
export const checkZoneOptions = (given: Partial<ZoneOptions>): neverthrow.Result<ZoneOptions, string[]> => {
	const options = {...DEFAULT_ZONE_OPTIONS, ...given};
	const fields = Object.keys(CHECKS) as Array<keyof ZoneOptions>;
	const problems = fields
		.filter(field => !(Number.isFinite(options[field]) && CHECKS[field].isValid(options[field])))
		.map(field => `${field}: expected ${CHECKS[field].expected}, got ${options[field]}`);
	return options.linkRatio > options.linkRatioLimit
		? neverthrow.err([...problems, `linkRatio: expected at most linkRatioLimit, got ${options.linkRatio}`])
		: problems.length > 0
			? neverthrow.err(problems)
			: neverthrow.ok(options);
};

/**
 * Completes options with the defaults. The settings file is checked where it is read, so an error here is one of the program.
 *
 * @throws Error that names the fields
 */
export const completeZoneOptions = (given: Partial<ZoneOptions>): ZoneOptions =>
	checkZoneOptions(given).match(
		options => options,
		problems => {
			throw new Error(`options between zones are invalid: ${problems.join('; ')}`);
		},
	);

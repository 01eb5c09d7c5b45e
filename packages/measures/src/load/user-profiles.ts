import type * as core from '@bilberrydoor/core';

/** Location of VMs. */
export type Place = {readonly region: string; readonly availabilityZone: string};

/** Deployment of one user, with the sizes from section 1.6 of the design. */
export type UserProfile = {
	readonly name: string;
	/** Service that receives the load, which consists of lookups. */
	readonly service: string;
	readonly places: readonly Place[];
	readonly targetCount: number;
	/** Slots of each target. */
	readonly slotCount: number;
	/** One-way latencies in ms. */
	readonly zoneLatencyMs: number;
	readonly regionLatencyMs: number;
	readonly callerLatencyMs: number;
};

export const USER_PROFILES: readonly UserProfile[] = [
	{
		name: 'Drainage Authority',
		service: 'ratiba',
		places: [
			{region: 'pwani', availabilityZone: 'kinondoni'},
			{region: 'pwani', availabilityZone: 'temeke'},
			{region: 'bara', availabilityZone: 'dodoma-kati'},
			{region: 'bara', availabilityZone: 'morogoro'},
		],
		targetCount: 10,
		slotCount: 4,
		zoneLatencyMs: 0.5,
		regionLatencyMs: 20,
		callerLatencyMs: 3,
	},
	{
		name: 'Teranga',
		service: 'recettes',
		places: [
			{region: 'dakar', availabilityZone: 'dakar-plateau'},
			{region: 'dakar', availabilityZone: 'dakar-yoff'},
			{region: 'thies', availabilityZone: 'thies-centre'},
			{region: 'thies', availabilityZone: 'mbour'},
		],
		targetCount: 10,
		slotCount: 3,
		zoneLatencyMs: 1.5,
		regionLatencyMs: 20,
		callerLatencyMs: 8,
	},
];

/** Entry nodes of a user: the upper limit in section 1.6 of the design. */
export const ENTRY_NODE_COUNT = 44;

/** Latency within a zone as a fraction of the latency between zones of a region. */
const SAME_ZONE_RATIO = 0.5;

/** One-way latency between two places, in ms. */
export const findLatencyMs = (profile: UserProfile, from: Place, to: Place): number => {
	if (from.region !== to.region) {
		return profile.regionLatencyMs;
	}

	return from.availabilityZone === to.availabilityZone
		? profile.zoneLatencyMs * SAME_ZONE_RATIO
		: profile.zoneLatencyMs;
};

/** Mean service time of a lookup, in ms. */
export const SHORT_SERVICE_TIME_MS = 20;

/** Draws a service time uniformly between 0.5 and 1.5 times the mean. */
export const drawServiceTime = (random: core.Random, meanMs: number): number => meanMs * (0.5 + random.fraction());

/** Lookups per second that all targets together can serve. */
export const calculateCapacityPerSecond = (profile: UserProfile): number =>
	(profile.targetCount * profile.slotCount * 1000) / SHORT_SERVICE_TIME_MS;

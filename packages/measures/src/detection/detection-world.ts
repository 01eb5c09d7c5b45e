import type * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import * as fakes from '@bilberrydoor/fakes';

/** Regions, targets and latencies of one user, with the sizes from section 1.6 of the design. */
type DetectionUser = {
	readonly name: string;
	readonly places: ReadonlyArray<{region: string; availabilityZone: string}>;
	/** One-way latency between availability zones of a region, in ms. */
	readonly zoneLatencyMs: number;
	readonly services: readonly DetectionService[];
};

export type DetectionService = {
	readonly service: string;
	readonly targetCount: number;
	readonly slotCount: number;
	readonly floorSlotCount: number;
	readonly workClass: domain.WorkClass;
	/** Median service time, in ms. */
	readonly serviceTimeMs: number;
	readonly deadlineMs: number;
};

const REGION_LATENCY_MS = 20;
const LOCAL_LATENCY_MS = 0.2;
const NODE_COUNT = 44;
/** Standard deviation of the logarithm of service times. */
const SERVICE_TIME_SPREAD = 0.4;

const SHORT = {workClass: domain.WorkClass.Short, serviceTimeMs: 100, deadlineMs: 2000};
const LONG = {workClass: domain.WorkClass.Long, serviceTimeMs: 800, deadlineMs: 20_000};

const DETECTION_USERS: readonly DetectionUser[] = [
	{
		name: 'drainage',
		places: [
			{region: 'pwani', availabilityZone: 'kinondoni'},
			{region: 'bara', availabilityZone: 'dodoma-kati'},
			{region: 'pwani', availabilityZone: 'temeke'},
			{region: 'bara', availabilityZone: 'morogoro'},
		],
		zoneLatencyMs: 0.5,
		services: [
			{service: 'ratiba', targetCount: 10, slotCount: 4, floorSlotCount: 24, ...SHORT},
			{service: 'malipo', targetCount: 20, slotCount: 4, floorSlotCount: 48, ...SHORT},
			{service: 'picha', targetCount: 10, slotCount: 4, floorSlotCount: 20, ...LONG},
		],
	},
	{
		name: 'teranga',
		places: [
			{region: 'dakar', availabilityZone: 'dakar-plateau'},
			{region: 'thies', availabilityZone: 'thies-centre'},
			{region: 'dakar', availabilityZone: 'dakar-yoff'},
			{region: 'thies', availabilityZone: 'mbour'},
		],
		zoneLatencyMs: 1.5,
		services: [
			{service: 'recettes', targetCount: 10, slotCount: 3, floorSlotCount: 18, ...SHORT},
			{service: 'impression', targetCount: 10, slotCount: 3, floorSlotCount: 18, ...SHORT},
			{service: 'controle', targetCount: 10, slotCount: 3, floorSlotCount: 15, ...LONG},
		],
	},
];

/** Simulated network, targets and entries, before any node or proxy is started. */
export type DetectionWorld = {
	readonly services: readonly DetectionService[];
	readonly fleet: fakes.FakeFleet;
	readonly entries: readonly domain.CatalogueEntry[];
	readonly nodePlaces: ReadonlyArray<{address: string; region: string; availabilityZone: string}>;
};

const buildDetectionEntry = (places: DetectionUser['places'], service: DetectionService): domain.CatalogueEntry =>
	fakes.buildEntry({
		service: service.service,
		floorSlotCount: service.floorSlotCount,
		routes: [
			fakes.buildRoute({
				pathPrefix: `/${service.service}`,
				workClass: service.workClass,
				deadlineMs: service.deadlineMs,
			}),
		],
		targets: fakes.buildTargets({
			service: service.service,
			count: service.targetCount,
			slotCount: service.slotCount,
			places,
		}),
	});

/** Draws a standard normal random number by the Box-Muller method. */
const drawNormal = (random: core.Random): number =>
	Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction());

const findZoneLatencyMs = (region: string): number =>
	DETECTION_USERS.find(({places}) => places.some(place => place.region === region))!.zoneLatencyMs;

const ALL_PLACES = DETECTION_USERS.flatMap(({places}) => places);

/**
 * Builds the world of both users, who share the entry nodes. With the same seed the targets behave alike for the product
 * and the baselines.
 */
export const buildDetectionWorld = (seed: number): DetectionWorld => {
	const fleet = fakes.createFakeFleet({seed});
	const services = DETECTION_USERS.flatMap(user => user.services);
	const entries = DETECTION_USERS.flatMap(user =>
		user.services.map(service => buildDetectionEntry(user.places, service)),
	);
	const nodePlaces = Array.from({length: NODE_COUNT}, (_, index) => ({
		address: `node-${index}:1`,
		...ALL_PLACES[index % ALL_PLACES.length]!,
	}));
	const placeByAddress = new Map(
		[
			...nodePlaces,
			...entries.flatMap(entry => entry.targets),
			{address: fakes.FAKE_LOG_ADDRESS, ...ALL_PLACES[0]!},
		].map(place => [place.address, place]),
	);
	fleet.network.latencyMs = (from, to) => {
		const [left, right] = [placeByAddress.get(from)!, placeByAddress.get(to)!];
		if (left.region !== right.region) {
			return REGION_LATENCY_MS;
		}

		return left.availabilityZone === right.availabilityZone ? LOCAL_LATENCY_MS : findZoneLatencyMs(left.region);
	};

	entries.forEach((entry, index) => {
		fleet.addTargets(entry);
		const random = fakes.createSeededRandom(seed + index);
		entry.targets.forEach(({targetId}) => {
			fleet.targets.get(targetId)!.serviceTimeMs = () =>
				services[index]!.serviceTimeMs * Math.exp(SERVICE_TIME_SPREAD * drawNormal(random));
		});
	});
	return {services, fleet, entries, nodePlaces};
};

import type * as core from '@bilberrydoor/core';
import type {Measure} from '../measure.js';
import {measureRecordBytes} from '../operations/record-size.js';
import * as subjects from './capacity-subjects.js';
import {measureBytesPerItem, measureNs, measurePoints, type SlopePoint} from './slope.js';

const PLANNED_ROUTE_COUNT = 110_000;
const PLANNED_SERVICE_COUNT = 7300;
const LOOKUP_COUNT = 20_000;
const SCHEDULE_COUNT = 3000;
const HEALTH_COUNT = 50_000;

const SIZES = {
	routes: [3000, 30_000, 110_000],
	services: [100, 400, 1600],
	workspaces: [5000, 50_000, 510_000],
	operations: [1000, 10_000, 50_000],
	groupTargets: [16, 32, 64],
};

const buildStore = (serviceCount: number): core.CatalogueStore => {
	const store = subjects.createMeasuredStore();
	Array.from({length: serviceCount}, (_, index) => index).forEach(index => {
		store.applyRecord(subjects.buildEdit(index, subjects.buildServiceEntry(index)));
	});
	return store;
};

const measureRouteLookup = async (routeCount: number): Promise<number> => {
	const table = subjects.buildRouteTable(routeCount);
	const serviceCount = Math.ceil(routeCount / subjects.ROUTES_PER_SERVICE);
	return measureNs(LOOKUP_COUNT, index => table.findRoute('GET', `/service-${index % serviceCount}/kind-3/item/7`));
};

const measureApply = async (serviceCount: number): Promise<number> => {
	const store = buildStore(serviceCount);
	const entries = Array.from({length: 200}, (_, index) => subjects.buildServiceEntry(serviceCount + index));
	let offset = serviceCount;
	const startedMs = performance.now();
	entries.forEach(entry => {
		store.applyRecord(subjects.buildEdit(offset++, entry));
	});
	return ((performance.now() - startedMs) * 1000) / entries.length;
};

const measureScheduling = async (targetCount: number): Promise<number> => {
	const schedule = subjects.createMeasuredScheduler(targetCount);
	return measureNs(SCHEDULE_COUNT, async index => schedule(`workspace-${index % 100}`));
};

const lastFigure = (points: readonly SlopePoint[]): number => points.at(-1)!.figure;

/** Measures memory and time for one item of each kind of state, at three sizes each. */
export const measureCapacity: Measure = async ({reportProgress}) => {
	const points = {
		bytesPerRoute: await measurePoints(SIZES.routes, size => measureBytesPerItem(size, subjects.buildRouteTable)),
		bytesPerService: await measurePoints(SIZES.services, size => measureBytesPerItem(size, buildStore)),
		bytesPerWorkspace: await measurePoints(SIZES.workspaces, size =>
			measureBytesPerItem(size, subjects.buildWorkspaceBuckets),
		),
		bytesPerOperation: await measurePoints(SIZES.operations, measureRecordBytes),
		routeLookupNs: await measurePoints(SIZES.routes, measureRouteLookup),
		scheduleDecisionNs: await measurePoints(SIZES.groupTargets, measureScheduling),
		healthUpdateNs: await measurePoints(SIZES.groupTargets, async size =>
			measureNs(HEALTH_COUNT, subjects.createMeasuredHealth(size)),
		),
		catalogueApplyUsPerEntry: await measurePoints(SIZES.services, measureApply),
	};
	Object.entries(points).forEach(([name, sizePoints]) => {
		reportProgress(`${name}: ${sizePoints.map(({size, figure}) => `${size}: ${figure}`).join(', ')}`);
	});
	const {bytesPerService, ...slopePoints} = points;
	const slopes = Object.fromEntries(
		Object.entries(slopePoints).map(([name, sizePoints]) => [name, lastFigure(sizePoints)]),
	);
	return {
		slopes: {
			...slopes,
			// The state of a service is its targets, its routes and a small remainder; all of it is counted with the targets.
			bytesPerTarget: lastFigure(bytesPerService) / subjects.TARGETS_PER_SERVICE,
		},
		points,
		catalogueAtPlannedSizeBytes: Math.round(
			lastFigure(bytesPerService) * PLANNED_SERVICE_COUNT + lastFigure(points.bytesPerRoute) * PLANNED_ROUTE_COUNT,
		),
	};
};

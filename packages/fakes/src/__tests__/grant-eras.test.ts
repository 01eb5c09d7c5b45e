import * as core from '@bilberrydoor/core';
import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as neverthrow from 'neverthrow';
import {buildFleetCatalogue, buildGrantRequest, buildNode, buildTarget} from '../build-fleet.js';
import {buildGrantParts} from '../build-grants.js';

const {Catalogue, Targets} = core.RegistryTopic;
const OTHER_REGION = 'bara';
const granted = buildTarget({targetId: 'away', region: OTHER_REGION});
const draining = {...granted, readiness: domain.TargetReadiness.Draining};

/** Another target of the region, so that the entry node asks there. */
const other = buildTarget({targetId: 'other', region: OTHER_REGION});

/** End of the targets' topic before the rollback and in the copy. */
const FORMER_END = 20;
const COPY_END = 10;

type GrantCase = {
	readonly name: string;
	/** Last record of the target that the entry node read in the former era. */
	readonly known: domain.RegisteredTarget | undefined;
	/** Record of the target in the store's copy; absent if the entry node has not read the new era. */
	readonly restored?: domain.RegisteredTarget;
	readonly isInNewEra: boolean;
	/** Position of the dispatcher's record; dispatchers of earlier versions omit the era. */
	readonly targetOffset: number;
	readonly targetEra: number | undefined;
	readonly isUsed: boolean;
};

const CASES: readonly GrantCase[] = [
	{
		name: 'of a removed target, by a dispatcher in the former era whose offset is the highest, is not used',
		known: undefined,
		isInNewEra: true,
		targetOffset: 15,
		targetEra: 0,
		isUsed: false,
	},
	{
		name: 'of a removed target that the store restored is not used',
		known: undefined,
		restored: granted,
		isInNewEra: true,
		targetOffset: 2,
		targetEra: 1,
		isUsed: false,
	},
	{
		name: 'of a removed target that wrote its record anew is used',
		known: undefined,
		restored: granted,
		isInNewEra: true,
		targetOffset: COPY_END + 1,
		targetEra: 1,
		isUsed: true,
	},
	{
		name: 'of a removed target, by a dispatcher that is ahead in era and behind in offset, is not used',
		known: undefined,
		isInNewEra: false,
		targetOffset: 2,
		targetEra: 1,
		isUsed: false,
	},
	{
		name: 'of a draining target that the store restored as ready is not used',
		known: draining,
		restored: granted,
		isInNewEra: true,
		targetOffset: 2,
		targetEra: 1,
		isUsed: false,
	},
	{
		name: 'of a lost target, by a dispatcher in the former era, is used',
		known: granted,
		isInNewEra: true,
		targetOffset: 2,
		targetEra: 0,
		isUsed: true,
	},
	{
		name: 'of a removed target without an era counts as one of the lowest era and is not used',
		known: undefined,
		isInNewEra: true,
		targetOffset: 15,
		targetEra: undefined,
		isUsed: false,
	},
];

// Guards against calls to targets that have left, granted by a dispatcher in another era of the store. Load: exports of
// deployment A, which run at most once and gain nothing from a target that has gone.
CASES.forEach(({name, known, restored, isInNewEra, targetOffset, targetEra, isUsed}) => {
	test(`a grant ${name}`, async t => {
		const grant: core.Grant = {
			isGranted: true,
			grantId: 'grant',
			target: granted,
			standing: core.GrantStanding.Sound,
			usualDurationMs: undefined,
			targetOffset,
			targetEra,
		};
		const {clock, grants, registry} = buildGrantParts({
			targets: [other],
			nodes: [buildNode('peer', {region: OTHER_REGION})],
			peerClient: {
				request: async (_address, kind) =>
					neverthrow.ok((kind === core.FleetMessageKind.AcquireGrant ? grant : {}) as never),
			},
		});
		const catalogue = {key: 'config', offset: 0, value: buildFleetCatalogue(1, [])};
		const records = [granted, known].map((value, index) => ({key: granted.targetId, offset: 2 + index, value}));
		registry.eras.record(0);
		registry.apply({
			[Catalogue]: {records: [catalogue], nextOffset: 1, isWhole: true, era: 0},
			[Targets]: {records, nextOffset: FORMER_END, isWhole: false, era: 0},
		});
		if (isInNewEra) {
			const copied = [other, ...(restored ? [restored] : [])];
			const copy = copied.map((value, index) => ({key: value.targetId, offset: 1 + index, value}));
			registry.eras.record(1);
			registry.apply({
				[Catalogue]: {records: [catalogue], nextOffset: 1, isWhole: true, era: 1},
				[Targets]: {records: copy, nextOffset: COPY_END, isWhole: true, era: 1},
			});
		}

		const request = {...buildGrantRequest('request'), isBulk: false};
		const answer = await clock.runUntilSettled(grants.acquire(request, new AbortController().signal), 10_000);
		t.is(answer.isGranted, isUsed);
	});
});

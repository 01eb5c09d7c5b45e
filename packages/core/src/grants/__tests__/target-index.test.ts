import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as ports from '../../ports/index.js';
import {DEFAULT_DISPATCHER_OPTIONS} from '../dispatcher-options.js';
import {createGrayPhaseEstimator} from '../gray-phase-estimator.js';
import {hasFreeSlot, NO_NODE_ID, TargetPool} from '../target-entry.js';
import {createTargetIndex} from '../target-index.js';
import {createTargetLedger, GrantStanding, type TargetLedger} from '../target-ledger.js';
import {createTargetNotices} from '../target-notices.js';
import {createUsualDurations} from '../usual-durations.js';
import {createUsualFailureRatio} from '../usual-failure-ratio.js';

const ignore = (): void => undefined;
const LOGGER: ports.Logger = {debug: ignore, info: ignore, warn: ignore, error: ignore};
const NEAR_ZONE = 'kinondoni';
const REQUESTER = {nodeId: 'entry-1', availabilityZone: NEAR_ZONE, excludedTargetIds: []};

const createHarness = (targetCount: number, slotCount = 2) => {
	const time = {nowMs: 0};
	const clock = {monotonicMs: () => time.nowMs};
	const notices = createTargetNotices({clock, logger: LOGGER});
	const draws = {state: 1};
	const random = {
		fraction() {
			draws.state = (draws.state * 48_271) % 2_147_483_647;
			return draws.state / 2_147_483_647;
		},
	};
	const ledgerParts = {
		options: DEFAULT_DISPATCHER_OPTIONS,
		clock,
		failureRatio: createUsualFailureRatio(),
		durations: createUsualDurations(),
		phases: createGrayPhaseEstimator(DEFAULT_DISPATCHER_OPTIONS),
		notices,
		zones: {savingFor: () => 0},
		readTrialRepeatability: () => domain.Repeatability.Repeatable,
	};
	const ledgers = Array.from({length: targetCount}, (_, index) =>
		createTargetLedger(
			{
				targetId: `target-${index}`,
				startedAtMs: 1,
				service: 'malipo',
				address: '127.0.0.1:1',
				region: 'pwani',
				availabilityZone: index % 10 === 0 ? NEAR_ZONE : 'temeke',
				slotCount,
				readiness: domain.TargetReadiness.Ready,
				warmUpLeftMs: 0,
			},
			ledgerParts,
		),
	);
	const listed = {ready: ledgers, revision: 0};
	const listReady = (): readonly TargetLedger[] => {
		if (listed.revision !== notices.revision()) {
			listed.revision = notices.revision();
			listed.ready = [...ledgers];
		}

		return listed.ready;
	};

	const index = createTargetIndex({clock, random, listReady});
	const open = (ledger: TargetLedger, grantId: string): void => {
		const request = {nodeId: 'entry-1', routeId: 'route', repeatability: domain.Repeatability.Repeatable};
		ledger.open(grantId, request, {ttlMs: 1500, isForFloor: false});
		index.update(ledger);
	};

	const close = (ledger: TargetLedger, grantId: string, result: ports.GrantResult): void => {
		ledger.close({grantId, nodeId: 'entry-1', routeId: 'route', result, durationMs: 900});
		index.update(ledger);
	};

	return {time, notices, ledgers, index, open, close};
};

const listIds = (ledgers: readonly TargetLedger[]): string[] =>
	ledgers.map(ledger => ledger.target().targetId).toSorted();

const STEPS = fastCheck.array(
	fastCheck.record({
		kind: fastCheck.constantFrom('open', 'close', 'pass', 'pause'),
		target: fastCheck.nat(7),
		result: fastCheck.constantFrom(...Object.values(ports.GrantResult)),
		passMs: fastCheck.constantFrom(1, 99, 150, 1000, 1700, 6000),
	}),
	{maxLength: 60},
);

// Guards against a target that keeps or loses its place in the index when its standing or its slots change, with a report or
// with time: it would get no calls although it is free, or be tried although it is not.
test('the index holds what an evaluation of all targets shows', t => {
	fastCheck.assert(
		fastCheck.property(STEPS, steps => {
			const {time, notices, ledgers, index, open, close} = createHarness(8);
			steps.forEach(({kind, target, result, passMs}, step) => {
				const ledger = ledgers[target]!;
				const handlers: Record<typeof kind, () => void> = {
					open() {
						open(ledger, `${target}-${step % 3}`);
					},
					close() {
						close(ledger, `${target}-${step % 3}`, result);
					},
					pass() {
						time.nowMs += passMs;
					},
					pause() {
						const {targetId, startedAtMs} = ledger.target();
						notices.record({targetId, startedAtMs, isLeaving: false, pauseLeftMs: passMs}, 'entry-1');
					},
				};
				handlers[kind]();
				const listAs = (nodeId: string, standing: GrantStanding): readonly TargetLedger[] =>
					ledgers.filter(candidate => candidate.standingFor(nodeId) === standing);
				const free = listAs('entry-1', GrantStanding.Sound).filter(candidate => hasFreeSlot(candidate));
				const resting = listAs('entry-1', GrantStanding.Resting).filter(candidate => hasFreeSlot(candidate));
				const trial = listAs('entry-1', GrantStanding.OnTrial).filter(candidate => candidate.openCount() === 0);
				t.deepEqual(listIds(index.listCandidates(TargetPool.FreeSound, REQUESTER)), listIds(free));
				t.deepEqual(listIds(index.listCandidates(TargetPool.FreeResting, REQUESTER)), listIds(resting));
				t.deepEqual(listIds(index.listCandidates(TargetPool.Trial, REQUESTER)), listIds(trial));
				const available = ledgers.filter(candidate => candidate.pauseLeftMs() === 0);
				const unused = index.unused();
				t.is(unused.availableCount, available.length);
				t.deepEqual(listIds(unused.ledgers), listIds(available.filter(candidate => candidate.isUnused())));
				const sound = listAs(NO_NODE_ID, GrantStanding.Sound);
				t.deepEqual(index.soundLoad({excludedTargetIds: []}), {
					openCount: sound.reduce((sum, candidate) => sum + candidate.openCount(), 0),
					slotCount: sound.reduce((sum, candidate) => sum + candidate.slotCount(), 0),
				});
				t.is(index.countStandings().get(GrantStanding.Sound) ?? 0, sound.length);
				const setAside = [...listAs('entry-1', GrantStanding.SetAside), ...listAs('entry-1', GrantStanding.OnTrial)]
					.filter(candidate => hasFreeSlot(candidate))
					.toSorted((left, right) => left.lastFaultAtMs() - right.lastFaultAtMs());
				t.is(index.findLastResort(REQUESTER)?.lastFaultAtMs(), setAside[0]?.lastFaultAtMs());
			});
		}),
		{seed: 11, numRuns: 150},
	);
});

// Guards against a node whose calls are refused since the drawn candidates are all out of its reach.
test('a node that can reach one of 200 targets gets it', t => {
	const {ledgers, index, close} = createHarness(200);
	ledgers.slice(1).forEach(ledger => {
		close(ledger, 'unknown', ports.GrantResult.Unreachable);
	});
	t.deepEqual(listIds(index.listCandidates(TargetPool.FreeSound, REQUESTER)), ['target-0']);
});

test('the candidates among 200 targets are few, and some are in the zone of the node', t => {
	const {index} = createHarness(200);
	const candidates = index.listCandidates(TargetPool.FreeSound, REQUESTER);
	t.true(candidates.length <= 36);
	t.true(candidates.filter(ledger => ledger.target().availabilityZone === NEAR_ZONE).length >= 12);
});

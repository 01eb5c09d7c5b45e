import * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import type {VirtualClock} from '../virtual-clock.js';
import type {Draws} from './draws.js';

type SendResult = neverthrow.Result<core.AttemptAnswer, core.AttemptError>;

/** What a target does with a call that was sent to it. */
enum Fate {
	Succeeds = 'succeeds',
	Fails = 'fails',
	Refuses = 'refuses',
	RefusesAsAnother = 'refuses-as-another',
	LosesConnection = 'loses-connection',
	Garbles = 'garbles',
	StaysSilent = 'stays-silent',
}

type Behaviour = {
	/** Whether the target may run the call. */
	readonly mayRun: boolean;
	/** What the node gets; undefined if nothing. */
	readonly result?: SendResult;
};

const answerWith = (meaning: core.AnswerMeaning, status: number): SendResult =>
	neverthrow.ok({meaning, answer: {status, headers: [], body: new Uint8Array(0)}});
const failWith = (kind: core.AttemptErrorKind): SendResult => neverthrow.err({kind, detail: 'modelled'});

const BEHAVIOURS: Record<Fate, Behaviour> = {
	[Fate.Succeeds]: {mayRun: true, result: answerWith(core.AnswerMeaning.Completed, 200)},
	[Fate.Fails]: {mayRun: true, result: answerWith(core.AnswerMeaning.Failed, 500)},
	[Fate.Refuses]: {mayRun: false, result: answerWith(core.AnswerMeaning.NotRun, 503)},
	[Fate.RefusesAsAnother]: {mayRun: false, result: answerWith(core.AnswerMeaning.Replaced, 421)},
	[Fate.LosesConnection]: {mayRun: true, result: failWith(core.AttemptErrorKind.Broken)},
	[Fate.Garbles]: {mayRun: true, result: answerWith(core.AnswerMeaning.Mismatched, 200)},
	[Fate.StaysSilent]: {mayRun: true},
};

/** Refusals more often than the others, since calls are refused only after them or before any attempt. */
const FATES = [...Object.values(Fate), Fate.Refuses, Fate.Refuses, Fate.RefusesAsAnother];

/** State of an attempt as far as the node can know it. */
enum AttemptState {
	Unsent = 'unsent',
	Sent = 'sent',
	Ended = 'ended',
}

export type ModelledAttempt = {
	readonly requestId: string;
	state: AttemptState;
	/** Time at which a target began to run the call. */
	ranAtMs?: number;
};

const SILENCE_MS = 60_000;
const CONNECT_LIMIT_MS = 500;
const WORK_LIMIT_MS = 700;
const LATE_START_LIMIT_MS = 2500;
const CANCEL_LIMIT_MS = 200;

export type ModelledTargets = {
	readonly client: core.FleetTargetClient;
	readonly attempts: readonly ModelledAttempt[];
	isUnderWay(requestId: string): boolean;
};

/**
 * Targets that tell the truth: an attempt that was cancelled before it was sent never runs, one that was cancelled later may
 * run at any time, and a refused one never does. `world` is the clock of the targets, `node` that of the sending node.
 */
export const createModelledTargets = (parts: {
	readonly world: VirtualClock;
	readonly node: VirtualClock;
	readonly draws: Draws;
}): ModelledTargets => {
	const {world, node, draws} = parts;
	const attempts: ModelledAttempt[] = [];

	/** Runs a call that was sent, soon or long after its connection was lost. */
	const runLater = async (attempt: ModelledAttempt, startLimitMs: number, signal: AbortSignal): Promise<void> => {
		const isDroppedWithConnection = draws.chance(0.3);
		await world.sleep(draws.timeMs(startLimitMs));
		if (!(isDroppedWithConnection && signal.aborted)) {
			attempt.ranAtMs = world.monotonicMs();
		}
	};

	const exchange = async (attempt: ModelledAttempt, signal: AbortSignal): Promise<SendResult> => {
		const isConnected = draws.chance(0.4);
		if (!isConnected) {
			const isReachable = draws.chance(0.7);
			await node.sleep(draws.chance(0.2) ? CONNECT_LIMIT_MS : draws.timeMs(CONNECT_LIMIT_MS), signal);
			if (signal.aborted || !isReachable) {
				return failWith(signal.aborted ? core.AttemptErrorKind.CancelledUnsent : core.AttemptErrorKind.Unreachable);
			}
		}

		// On an idle connection, an attempt is sent at once, even one whose signal was aborted shortly before.
		attempt.state = AttemptState.Sent;
		const {mayRun, result} = BEHAVIOURS[draws.pick(FATES)];
		const workMs = draws.timeMs(WORK_LIMIT_MS);
		const isAnswered = result?.isOk() && result.value.meaning !== core.AnswerMeaning.Mismatched;
		if (mayRun && draws.chance(0.9)) {
			void runLater(attempt, isAnswered ? workMs : LATE_START_LIMIT_MS, signal);
		}

		await node.sleep(result ? workMs : SILENCE_MS, signal);
		return signal.aborted || !result ? failWith(core.AttemptErrorKind.CancelledSent) : result;
	};

	return {
		attempts,
		isUnderWay: requestId =>
			attempts.some(attempt => attempt.requestId === requestId && attempt.state !== AttemptState.Ended),
		client: {
			async send({call}, signal) {
				const attempt: ModelledAttempt = {requestId: call.requestId, state: AttemptState.Unsent};
				attempts.push(attempt);
				const result = await exchange(attempt, signal);
				if (signal.aborted && draws.chance(0.3)) {
					await node.sleep(draws.timeMs(CANCEL_LIMIT_MS));
				}

				attempt.state = AttemptState.Ended;
				return result;
			},
		},
	};
};

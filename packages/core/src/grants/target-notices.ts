import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createRecentMap} from '../shared/recent-map.js';

/** Targets whose announcements are kept. A node of the planned size sends to far fewer targets that leave or pause. */
const NOTICE_LIMIT_COUNT = 4096;

/** Longest pause that a target can ask for, in ms. It is asked again afterwards. */
export const PAUSE_LIMIT_MS = 60_000;

/**
 * How long a target without a start time counts as leaving, in ms. A later process with the same id cannot be told from it.
 */
const UNDATED_LEAVING_MS = 60_000;

/** A pause that ends less than this later than the known one changes nothing, in ms. */
const PAUSE_TOLERANCE_MS = 100;

/** Identifies one incarnation of a target. */
export type TargetIncarnation = Pick<domain.RegisteredTarget, 'targetId' | 'startedAtMs'>;

/**
 * Announcements of targets that this node received itself or from peers. They stay in force whatever the registry says, since
 * its copy of the target's record may be out of date.
 */
export type TargetNotices = {
	/**
	 * Records a notice.
	 *
	 * @param reporter id of the node that received the announcement or passed it on
	 */
	record(notice: ports.TargetNotice, reporter: string): void;
	isLeaving(target: TargetIncarnation): boolean;
	/** Time for which the target still wants no calls, in ms. */
	pauseLeftMs(target: TargetIncarnation): number;
	/** Whether the target must get no calls now. */
	isBlocked(target: TargetIncarnation): boolean;
	/** Increases with each notice that changes what is known. */
	revision(): number;
	/** Notices in force of the given targets that were recorded after the given revision. */
	list(targets: readonly TargetIncarnation[], sinceRevision: number): readonly ports.TargetNotice[];
};

type NoticeEntry = {readonly revision: number; readonly leavingUntilMs: number; readonly pausedUntilMs: number};

const NO_NOTICE: NoticeEntry = {revision: 0, leavingUntilMs: 0, pausedUntilMs: 0};

const buildKey = ({targetId, startedAtMs}: TargetIncarnation): string => `${targetId}@${startedAtMs}`;

enum NoticeKind {
	Leaving = 'leaving',
	Paused = 'paused',
}

const LOG_LINES: Record<NoticeKind, {readonly message: string; readonly event: ports.LogEvent}> = {
	[NoticeKind.Leaving]: {message: 'target is leaving', event: ports.LogEvent.TargetLeaving},
	[NoticeKind.Paused]: {message: 'target wants no calls for a while', event: ports.LogEvent.TargetPaused},
};

export type TargetNoticesParts = {
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly logger: ports.Logger;
};

export const createTargetNotices = ({clock, logger}: TargetNoticesParts): TargetNotices => {
	const entries = createRecentMap<string, NoticeEntry>(NOTICE_LIMIT_COUNT);
	/** Time until which any notice is in force, so that a node without notices does no work for them. */
	let anyUntilMs = 0;
	let revision = 0;

	const read = (target: TargetIncarnation): NoticeEntry =>
		clock.monotonicMs() < anyUntilMs ? (entries.get(buildKey(target)) ?? NO_NOTICE) : NO_NOTICE;

	const isLeaving = (target: TargetIncarnation): boolean => clock.monotonicMs() < read(target).leavingUntilMs;

	const pauseLeftMs = (target: TargetIncarnation): number =>
		Math.max(0, read(target).pausedUntilMs - clock.monotonicMs());

	const isBlocked = (target: TargetIncarnation): boolean => isLeaving(target) || pauseLeftMs(target) > 0;

	const log = (kind: NoticeKind, notice: ports.TargetNotice, reporter: string): void => {
		const {message, event} = LOG_LINES[kind];
		const {targetId, startedAtMs, pauseLeftMs: pauseMs} = notice;
		logger.info(message, {event, targetId, startedAtMs, pauseMs: Math.round(pauseMs), reporter});
	};

	return {
		record(notice, reporter) {
			const nowMs = clock.monotonicMs();
			const known = read(notice);
			const isNewlyLeaving = notice.isLeaving && !isLeaving(notice);
			const pauseMs = Math.min(notice.pauseLeftMs, PAUSE_LIMIT_MS);
			const isPauseLonger = pauseMs > pauseLeftMs(notice) + PAUSE_TOLERANCE_MS;
			if (!isNewlyLeaving && !isPauseLonger) {
				return;
			}

			const leavingUntilMs = notice.startedAtMs === 0 ? nowMs + UNDATED_LEAVING_MS : Number.POSITIVE_INFINITY;
			const isPauseNew = isPauseLonger && pauseLeftMs(notice) === 0;
			revision++;
			const entry: NoticeEntry = {
				revision,
				leavingUntilMs: isNewlyLeaving ? leavingUntilMs : known.leavingUntilMs,
				pausedUntilMs: Math.max(known.pausedUntilMs, nowMs + pauseMs),
			};
			entries.set(buildKey(notice), entry);
			anyUntilMs = Math.max(anyUntilMs, entry.leavingUntilMs, entry.pausedUntilMs);
			if (isNewlyLeaving) {
				log(NoticeKind.Leaving, notice, reporter);
			}

			if (isPauseNew) {
				log(NoticeKind.Paused, notice, reporter);
			}
		},
		isLeaving,
		pauseLeftMs,
		isBlocked,
		revision: () => revision,
		list(targets, sinceRevision) {
			return clock.monotonicMs() < anyUntilMs && revision > sinceRevision
				? targets
						.filter(target => read(target).revision > sinceRevision && isBlocked(target))
						.map(target => ({
							targetId: target.targetId,
							startedAtMs: target.startedAtMs,
							isLeaving: isLeaving(target),
							pauseLeftMs: Math.ceil(pauseLeftMs(target)),
						}))
				: [];
		},
	};
};

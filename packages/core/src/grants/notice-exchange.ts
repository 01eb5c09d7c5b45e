import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import type {Registry} from '../registry/registry.js';
import {buildGroupId} from '../registry/target-index.js';
import {boundPause} from './bound-pause.js';
import type {TargetNotices} from './target-notices.js';
import {createToldNotices, type UntoldNotices} from './told-notices.js';

/** Dispatchers for which it is kept which notices they have. Each group has a few. */
const TOLD_DISPATCHER_LIMIT_COUNT = 1024;

export type NoticeExchangeParts = {
	readonly self: domain.RegisteredNode;
	readonly registry: Registry;
	readonly notices: TargetNotices;
	readonly logger: ports.Logger;
};

/** Takes in what targets announce to this node, and passes it on to dispatchers. */
export type NoticeExchange = {
	/** Records the announcement of an answer, and returns it as a notice for the dispatchers. */
	recordAnnouncement(
		target: domain.RegisteredTarget,
		announcement: ports.TargetAnnouncement | undefined,
	): readonly ports.TargetNotice[];
	/** Notices of a group that a dispatcher of it has not received from this node, such as those told to its predecessor. */
	listUntold(dispatcher: domain.RegisteredNode, service: string, region: string): UntoldNotices;
};

export const createNoticeExchange = ({self, registry, notices, logger}: NoticeExchangeParts): NoticeExchange => {
	const toldNotices = createToldNotices(notices, TOLD_DISPATCHER_LIMIT_COUNT);
	return {
		recordAnnouncement({targetId, startedAtMs}, announcement) {
			if (!announcement) {
				return [];
			}

			const {isLeaving, pause} = announcement;
			const {pauseMs, isChanged} = boundPause(pause?.requestedMs ?? 0);
			if (isChanged) {
				logger.warn('a target asked for a pause that cannot be read or is too long', {
					event: ports.LogEvent.TargetPauseBounded,
					targetId,
					requested: pause?.text,
					pauseMs,
				});
			}

			const notice: ports.TargetNotice = {targetId, startedAtMs, isLeaving, pauseLeftMs: pauseMs};
			notices.record(notice, self.nodeId);
			return [notice];
		},
		listUntold: ({incarnationId}, service, region) =>
			toldNotices.listUntold(`${buildGroupId(service, region)}/${incarnationId}`, registry.targetsOf(service, region)),
	};
};

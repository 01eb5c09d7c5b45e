import type * as domain from '@bilberrydoor/domain';
import * as ports from '../ports/index.js';
import {createRecentMap} from '../shared/recent-map.js';
import {createNearSaving} from './near-saving.js';
import {createSlotReserve, type SlotReserve} from './slot-reserve.js';
import {createSpillTracker} from './spill-tracker.js';
import type {ZoneOptions} from './zone-options.js';

/** Open grants whose place is kept until their result arrives. */
const GRANT_LIMIT_COUNT = 8192;

/** Shares of a zone's calls in other zones at which sending begins and ends. Some calls always cross, since load is spread. */
const SPILL_RANGE = {beginShare: 0.6, endShare: 0.4};

type OpenGrant = {
	readonly isSameZone: boolean;
	readonly occupancy: number;
	readonly usualDurationMs: number | undefined;
};

/** Decisions between the zones of one group's region, made by its dispatcher. */
export type GroupZones = Pick<SlotReserve, 'recordDemand' | 'listPermitted'> & {
	/** What the target's zone saves for the caller, in units of a target's full occupancy. */
	savingFor(
		request: Pick<ports.AcquireGrantRequest, 'availabilityZone' | 'bodyBytes'>,
		target: Pick<domain.RegisteredTarget, 'availabilityZone'>,
		usualDurationMs: number,
	): number;
	/**
	 * Records the place of a grant.
	 *
	 * @param occupancy open calls of the target including the new one, divided by its slots
	 */
	recordGrant(
		request: Pick<ports.AcquireGrantRequest, 'availabilityZone' | 'isFromOtherRegion'>,
		grant: Pick<ports.Grant, 'grantId' | 'target' | 'usualDurationMs'>,
		occupancy: number,
	): void;
	/** Learns from a result. */
	recordResult(report: Pick<ports.ReportResultRequest, 'grantId' | 'result' | 'durationMs'>): void;
};

export type GroupZonesParts = {
	readonly groupId: string;
	readonly options: ZoneOptions;
	readonly clock: Pick<ports.Clock, 'monotonicMs'>;
	readonly logger: ports.Logger;
};

export const createGroupZones = ({groupId, options, clock, logger}: GroupZonesParts): GroupZones => {
	const reserve = createSlotReserve({clock, options});
	const saving = createNearSaving(options);
	const spill = createSpillTracker(SPILL_RANGE);
	const openGrants = createRecentMap<string, OpenGrant>(GRANT_LIMIT_COUNT);

	const trackSpill = (from: string, to: string): void => {
		const change = spill.record(from, from !== to, clock.monotonicMs());
		if (change) {
			logger.info(change.isSending ? 'calls are sent to other zones' : 'calls stay in their zone again', {
				event: change.isSending ? ports.LogEvent.SpillStarted : ports.LogEvent.SpillEnded,
				groupId,
				from,
				...(change.isSending && {to}),
				awayShare: Number(change.awayShare.toFixed(3)),
				crossingMs: Number(saving.crossingMs().toFixed(1)),
				fullness: Number(saving.fullness().toFixed(2)),
			});
		}
	};

	return {
		recordDemand: reserve.recordDemand,
		listPermitted: reserve.listPermitted,
		savingFor: ({availabilityZone, bodyBytes}, target, usualDurationMs) =>
			availabilityZone === target.availabilityZone ? saving.read(usualDurationMs, bodyBytes) : 0,
		recordGrant({availabilityZone, isFromOtherRegion}, {grantId, target, usualDurationMs}, occupancy) {
			// The crossing between regions would be taken for one between zones.
			if (isFromOtherRegion) {
				return;
			}

			const isSameZone = availabilityZone === target.availabilityZone;
			openGrants.set(grantId, {isSameZone, occupancy, usualDurationMs});
			trackSpill(availabilityZone, target.availabilityZone);
		},
		recordResult({grantId, result, durationMs}) {
			const grant = openGrants.get(grantId);
			openGrants.delete(grantId);
			if (grant?.usualDurationMs && result === ports.GrantResult.Success) {
				const {usualDurationMs} = grant;
				saving.record({...grant, usualDurationMs, relativeDuration: durationMs / usualDurationMs});
			}
		},
	};
};

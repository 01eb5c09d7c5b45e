import * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';

export type RecordBufferOptions = {
	readonly limitCount: number;
	readonly limitCharacters: number;
	/** Largest reply to one pull; a larger single record is sent alone. */
	readonly replyLimitCharacters: number;
};

export const DEFAULT_RECORD_BUFFER_OPTIONS: RecordBufferOptions = {
	limitCount: 1024,
	limitCharacters: 8_388_608,
	replyLimitCharacters: 524_288,
};

type BufferedRecord = {readonly logged: domain.LoggedRecord; readonly sizeCharacters: number};

/** Buffer of the latest edits that this node has applied, from which its followers pull. */
export type RecordBuffer = {
	/** Adds the records before `nextOffset`; only edits are kept. */
	extend(records: readonly domain.LoggedRecord[], nextOffset: number): void;
	/** Clears the buffer, which then continues from `nextOffset`. */
	restart(nextOffset: number): void;
	/** Edits from `fromOffset` on; undefined when the buffer no longer holds all of them. */
	read(
		fromOffset: number,
		limitCount: number,
	): {records: readonly domain.LoggedRecord[]; nextOffset: number} | undefined;
};

export const createRecordBuffer = (
	codec: ports.CatalogueCodec,
	given: Partial<RecordBufferOptions> = {},
): RecordBuffer => {
	const options = {...DEFAULT_RECORD_BUFFER_OPTIONS, ...given};
	let buffered: BufferedRecord[] = [];
	let firstOffset = 0;
	let endOffset = 0;
	let sizeCharacters = 0;

	const measureRecord = (record: domain.EditRecord): number =>
		codec.serializeItem({...record, revision: record.baseRevision, history: []}).length;

	const dropOldest = (): void => {
		while (buffered.length > options.limitCount || sizeCharacters > options.limitCharacters) {
			const dropped = buffered.shift()!;
			sizeCharacters -= dropped.sizeCharacters;
			firstOffset = dropped.logged.offset + 1;
		}
	};

	const selectWithinLimits = (candidates: readonly BufferedRecord[], limitCount: number): BufferedRecord[] => {
		let sumCharacters = 0;
		const endIndex = candidates.findIndex((candidate, index) => {
			sumCharacters += candidate.sizeCharacters;
			return index > 0 && (index >= limitCount || sumCharacters > options.replyLimitCharacters);
		});
		return endIndex === -1 ? [...candidates] : candidates.slice(0, endIndex);
	};

	return {
		extend(records, nextOffset) {
			records.forEach(logged => {
				if (logged.offset >= endOffset && logged.record.kind === domain.CatalogueRecordKind.Edit) {
					const recordCharacters = measureRecord(logged.record);
					buffered.push({logged, sizeCharacters: recordCharacters});
					sizeCharacters += recordCharacters;
				}
			});
			endOffset = Math.max(endOffset, nextOffset);
			dropOldest();
		},
		restart(nextOffset) {
			buffered = [];
			sizeCharacters = 0;
			firstOffset = nextOffset;
			endOffset = nextOffset;
		},
		read(fromOffset, limitCount) {
			if (fromOffset < firstOffset) {
				return undefined;
			}

			const candidates = buffered.filter(({logged}) => logged.offset >= fromOffset);
			const selected = selectWithinLimits(candidates, limitCount);
			const isComplete = selected.length === candidates.length;
			return {
				records: selected.map(({logged}) => logged),
				nextOffset: isComplete ? Math.max(fromOffset, endOffset) : selected.at(-1)!.logged.offset + 1,
			};
		},
	};
};

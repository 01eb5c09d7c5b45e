import type * as domain from '@bilberrydoor/domain';
import type * as ports from '../ports/index.js';
import {EditRefusal, type EditRequest, type Operator} from './edit-report.js';

/** Largest entry, in characters of its canonical text. It fits in one record of the log and in one control message. */
export const ENTRY_LIMIT_CHARACTERS = 1_048_576;

/** Input of the edit rules. */
export type EditContext = {
	readonly operator: Operator;
	readonly request: EditRequest;
	readonly current: domain.CatalogueItem | undefined;
	readonly isReady: boolean;
	readonly codec: ports.CatalogueCodec;
};

export type Refusal = {readonly refusal: EditRefusal; readonly detail: string};

type EditRule = {
	readonly applies: (context: EditContext) => boolean;
	readonly explain: (context: EditContext) => string;
};

const findCurrentRevision = ({current}: EditContext): number => current?.revision ?? 0;

const listOwners = ({current, request}: EditContext): string[] =>
	[current?.entry?.owner, request.entry?.owner].filter(owner => owner !== undefined);

const countEntryCharacters = ({codec, request}: EditContext): number =>
	codec.serializeItem({
		service: request.service,
		revision: 0,
		editId: '',
		author: '',
		entry: request.entry,
		history: [],
	}).length;

/**
 * Rules in the order in which they are checked. The base revision must be this node's current one, because the owner
 * is checked against that revision: a node that lags behind must not let the former owner edit.
 */
const EDIT_RULES: Partial<Record<EditRefusal, EditRule>> = {
	[EditRefusal.NotReady]: {
		applies: ({isReady}) => !isReady,
		explain: () => 'this node has no catalogue yet; ask another node or wait until it is ready',
	},
	[EditRefusal.ServiceMismatch]: {
		applies: ({request}) => request.entry !== undefined && request.entry.service !== request.service,
		explain: ({request}) => `the entry must be for service ${request.service}, got "${request.entry!.service}"`,
	},
	[EditRefusal.NotOwner]: {
		applies: context =>
			!context.operator.teams.includes('*') &&
			!listOwners(context).every(owner => context.operator.teams.includes(owner)),
		explain: context =>
			`operator ${context.operator.name} may not edit service ${context.request.service}; it needs team ${listOwners(context).join(' and ')}, and the operator has ${context.operator.teams.join(', ') || 'no team'}`,
	},
	[EditRefusal.UnknownRevision]: {
		applies: context => context.request.baseRevision > findCurrentRevision(context),
		explain: context =>
			`the edit is based on revision ${context.request.baseRevision}, and this node has seen revision ${findCurrentRevision(context)}; repeat it with the same edit id`,
	},
	[EditRefusal.StaleRevision]: {
		applies: context => context.request.baseRevision < findCurrentRevision(context),
		explain: context =>
			`the edit was based on revision ${context.request.baseRevision}; revision ${findCurrentRevision(context)} by ${context.current!.author} is in force`,
	},
	[EditRefusal.NothingToRemove]: {
		applies: ({request, current}) => request.entry === undefined && current?.entry === undefined,
		explain: ({request}) => `there is no entry for service ${request.service} to remove`,
	},
	[EditRefusal.TooLarge]: {
		applies: context => countEntryCharacters(context) > ENTRY_LIMIT_CHARACTERS,
		explain: context =>
			`the entry must have at most ${ENTRY_LIMIT_CHARACTERS} characters, got ${countEntryCharacters(context)}; split the service`,
	},
};

/** Finds the first rule that refuses an edit; undefined when the edit may be appended to the log. */
export const findRefusal = (context: EditContext): Refusal | undefined => {
	const found = Object.entries(EDIT_RULES).find(([, rule]) => rule.applies(context));
	return found && {refusal: found[0] as EditRefusal, detail: found[1].explain(context)};
};

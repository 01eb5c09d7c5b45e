import type {Command} from './command.js';
import {catalogueApply} from './commands/catalogue-apply.js';
import {catalogueDiff} from './commands/catalogue-diff.js';
import {catalogueGet} from './commands/catalogue-get.js';
import {catalogueHistory} from './commands/catalogue-history.js';
import {catalogueLint} from './commands/catalogue-lint.js';
import {catalogueList} from './commands/catalogue-list.js';
import {catalogueRevert} from './commands/catalogue-revert.js';
import {explain} from './commands/explain.js';
import {explainCall} from './commands/explain-call.js';
import {fleetStatus} from './commands/fleet-status.js';
import {operationsShow} from './commands/operations-show.js';
import {services} from './commands/services.js';
import {targets} from './commands/targets.js';
import {trace} from './commands/trace.js';
import {workspaces} from './commands/workspaces.js';

/** Names of the commands, as typed on the command line. */
export enum CommandName {
	CatalogueLint = 'catalogue lint',
	CatalogueDiff = 'catalogue diff',
	CatalogueApply = 'catalogue apply',
	CatalogueGet = 'catalogue get',
	CatalogueList = 'catalogue list',
	CatalogueHistory = 'catalogue history',
	CatalogueRevert = 'catalogue revert',
	FleetStatus = 'fleet status',
	Targets = 'targets',
	Services = 'services',
	OperationsShow = 'operations show',
	Explain = 'explain',
	ExplainCall = 'explain-call',
	Trace = 'trace',
	Workspaces = 'workspaces',
}

export const COMMANDS: Record<CommandName, Command> = {
	[CommandName.CatalogueLint]: catalogueLint,
	[CommandName.CatalogueDiff]: catalogueDiff,
	[CommandName.CatalogueApply]: catalogueApply,
	[CommandName.CatalogueGet]: catalogueGet,
	[CommandName.CatalogueList]: catalogueList,
	[CommandName.CatalogueHistory]: catalogueHistory,
	[CommandName.CatalogueRevert]: catalogueRevert,
	[CommandName.FleetStatus]: fleetStatus,
	[CommandName.Targets]: targets,
	[CommandName.Services]: services,
	[CommandName.OperationsShow]: operationsShow,
	[CommandName.Explain]: explain,
	[CommandName.ExplainCall]: explainCall,
	[CommandName.Trace]: trace,
	[CommandName.Workspaces]: workspaces,
};

/** Help texts of the command groups, which are no commands themselves. */
export const GROUP_DESCRIPTIONS: Readonly<Record<string, string>> = {
	catalogue: 'work with catalogue entries',
	fleet: 'look at the nodes',
	operations: 'look at operations that run at most once',
};

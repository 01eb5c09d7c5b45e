/** Larger than any priority of a route. */
const WORKSPACE_PRIORITY_UNIT = 1000;

/**
 * Priority of a call whose workspace goes before its route; 0 is the highest. A workspace without a priority takes that of the
 * route. Within a workspace, and between workspaces of the same priority, the route decides.
 */
export const combinePriorities = (workspacePriority: number | undefined, routePriority: number): number =>
	(workspacePriority ?? routePriority) * WORKSPACE_PRIORITY_UNIT + routePriority;

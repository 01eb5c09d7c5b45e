/** Larger than any priority of a route. */
const WORKSPACE_PRIORITY_UNIT = 1000;

/**
 * Priority of a call whose workspace goes before its route; 0 is the highest. A workspace without a priority takes that of the
 * route. Within a workspace, and between workspaces of the same priority, the route decides.
 */
export const combinePriorities = (workspacePriority: number | undefined, routePriority: number): number =>
	(workspacePriority ?? routePriority) * WORKSPACE_PRIORITY_UNIT + routePriority;

/** Larger than any priority of a workspace and a route. */
const YIELDING_PRIORITY_UNIT = 1_000_000_000;

/**
 * Priority of a call that its caller sent before the answers to its earlier ones. Such calls go behind all others while slots are
 * short, so that a few connections cannot take all slots of a group, whatever the priority of their routes.
 */
export const yieldPriority = (priority: number): number => YIELDING_PRIORITY_UNIT + priority;

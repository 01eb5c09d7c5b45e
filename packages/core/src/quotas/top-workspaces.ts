/** Chooses the workspaces whose metrics are shown by name, so that the number of metrics stays bounded. */
export type TopWorkspaces = {
	/** Label of a workspace: its name, or that of the sum over the others. */
	labelOf(workspace: string): string;
	/** Chooses anew from the workspaces' use. */
	choose(uses: ReadonlyArray<{readonly workspace: string; readonly usePerSecond: number}>): void;
};

/** Label of all workspaces that are not shown by name. */
export const OTHER_WORKSPACES = 'other';

/** Workspaces that are shown by name at the same time. */
const TOP_COUNT = 10;

/** Names that a run of the process shows at most, since a metric stays once it is created. */
const NAME_LIMIT_COUNT = 50;

export const createTopWorkspaces = (): TopWorkspaces => {
	const names = new Set<string>();
	return {
		labelOf: workspace => (names.has(workspace) ? workspace : OTHER_WORKSPACES),
		choose(uses) {
			uses
				.toSorted((left, right) => right.usePerSecond - left.usePerSecond)
				.slice(0, TOP_COUNT)
				.forEach(({workspace}) => {
					if (names.size < NAME_LIMIT_COUNT) {
						names.add(workspace);
					}
				});
		},
	};
};

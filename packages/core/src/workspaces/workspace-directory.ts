import * as domain from '@bilberrydoor/domain';

/** Characters of a digest by which candidates are found. The rest is compared in constant time. */
const INDEXED_DIGEST_LENGTH = 12;

/** Result of checking a caller's credential against the workspaces of a catalogue. */
export type Authentication =
	| {
			readonly isAccepted: true;
			/** Absent for a public route without a known key. */ readonly workspace?: domain.FleetWorkspace;
	  }
	| {readonly isAccepted: false; readonly credential: domain.CredentialKind};

/** Workspaces of one catalogue, by key and by name. */
export type WorkspaceDirectory = {
	/** Whether any workspace has a limited rate. */
	readonly hasLimits: boolean;
	/** Finds the workspace of a credential. On public routes, calls without a known key are accepted too. */
	authenticate(credential: domain.CallerCredential, isPublic: boolean): Authentication;
	find(name: string): domain.FleetWorkspace | undefined;
};

/** Compares digests without an early exit, so that the time taken does not tell how many characters match. */
const isEqualDigest = (left: string, right: string): boolean => {
	const difference = [...left].reduce(
		// eslint-disable-next-line no-bitwise
		(bits, character, index) => bits | (character.codePointAt(0)! ^ (right.codePointAt(index) ?? 0)),
		0,
	);
	return left.length === right.length && difference === 0;
};

type KeyEntry = {readonly digest: string; readonly workspace: domain.FleetWorkspace};

export const createWorkspaceDirectory = (workspaces: readonly domain.FleetWorkspace[]): WorkspaceDirectory => {
	const byName = new Map(workspaces.map(workspace => [workspace.name, workspace]));
	const byDigestStart = new Map<string, KeyEntry[]>();
	workspaces.forEach(workspace => {
		workspace.keyDigests.forEach(digest => {
			const start = digest.slice(0, INDEXED_DIGEST_LENGTH);
			const entries = byDigestStart.get(start);
			if (entries) {
				entries.push({digest, workspace});
			} else {
				byDigestStart.set(start, [{digest, workspace}]);
			}
		});
	});

	const findByDigest = (digest: string): domain.FleetWorkspace | undefined =>
		byDigestStart.get(digest.slice(0, INDEXED_DIGEST_LENGTH))?.find(entry => isEqualDigest(entry.digest, digest))
			?.workspace;

	return {
		authenticate(credential, isPublic) {
			const workspace = credential.kind === domain.CredentialKind.Key ? findByDigest(credential.digest) : undefined;
			return workspace !== undefined || isPublic
				? {isAccepted: true, workspace}
				: {isAccepted: false, credential: credential.kind};
		},
		find: name => byName.get(name),
		hasLimits: workspaces.some(({ratePerSecond}) => ratePerSecond > 0),
	};
};

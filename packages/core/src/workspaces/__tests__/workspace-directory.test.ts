import * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {combinePriorities} from '../combine-priorities.js';
import {createWorkspaceDirectory} from '../workspace-directory.js';

const DIGEST = 'a'.repeat(64);
/** Shares the indexed part of its digest with the first one. */
const SIMILAR_DIGEST = `${'a'.repeat(63)}b`;

const buildWorkspace = (name: string, keyDigests: readonly string[]): domain.FleetWorkspace => ({
	name,
	keyDigests,
	ratePerSecond: 0,
	burstCount: 0,
});

const directory = createWorkspaceDirectory([
	buildWorkspace('first', [DIGEST]),
	buildWorkspace('second', [SIMILAR_DIGEST]),
]);

const CREDENTIALS: ReadonlyArray<{
	readonly name: string;
	readonly credential: domain.CallerCredential;
	readonly workspace: string | undefined;
}> = [
	{name: 'a known key', credential: {kind: domain.CredentialKind.Key, digest: DIGEST}, workspace: 'first'},
	{
		name: 'a key with a similar digest',
		credential: {kind: domain.CredentialKind.Key, digest: SIMILAR_DIGEST},
		workspace: 'second',
	},
	{
		name: 'the start of a digest',
		credential: {kind: domain.CredentialKind.Key, digest: DIGEST.slice(1)},
		workspace: undefined,
	},
	{name: 'an empty digest', credential: {kind: domain.CredentialKind.Key, digest: ''}, workspace: undefined},
	{name: 'no key', credential: {kind: domain.CredentialKind.Absent}, workspace: undefined},
	{name: 'a malformed key', credential: {kind: domain.CredentialKind.Malformed}, workspace: undefined},
];

// Guards against calls that are attributed to another workspace, or accepted without one.
CREDENTIALS.forEach(({name, credential, workspace}) => {
	test(`${name} belongs to ${workspace ?? 'no workspace'}`, t => {
		const authentication = directory.authenticate(credential, false);
		t.is(authentication.isAccepted, workspace !== undefined);
		t.is(authentication.isAccepted ? authentication.workspace?.name : undefined, workspace);
		const onPublicRoute = directory.authenticate(credential, true);
		t.true(onPublicRoute.isAccepted);
		t.is(onPublicRoute.isAccepted ? onPublicRoute.workspace?.name : undefined, workspace);
	});
});

// Guards against routes that outrank the workspace's priority.
test('the priority of a workspace goes before that of a route', t => {
	t.true(combinePriorities(1, 9) < combinePriorities(2, 0));
	t.true(combinePriorities(1, 0) < combinePriorities(1, 1));
	t.true(combinePriorities(undefined, 1) < combinePriorities(2, 0));
});

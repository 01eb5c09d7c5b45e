import {Buffer} from 'node:buffer';
import * as domain from '@bilberrydoor/domain';
import * as zod from 'zod';

const shortText = zod.string().max(128);

const memberUpdateSchema = zod.object({
	node: zod.object({
		vmId: shortText,
		address: shortText,
		incarnationId: shortText,
		region: shortText,
		availabilityZone: shortText,
		operationsAddress: shortText,
	}),
	state: zod.enum(domain.MemberState),
	refutationCount: zod.number().int().min(0),
});

const STATE_LETTERS: Record<domain.MemberState, string> = {
	[domain.MemberState.Alive]: 'a',
	[domain.MemberState.Suspect]: 's',
	[domain.MemberState.SendOnly]: 'u',
	[domain.MemberState.Dead]: 'd',
	[domain.MemberState.Leaving]: 'l',
};

const STATES_BY_LETTER = new Map(Object.entries(STATE_LETTERS).map(([state, letter]) => [letter, state]));

/** Prefix of a token that is packed from 32 hexadecimal digits to 22 characters. */
const PACKED_TOKEN_MARK = '~';

const packToken = (token: string): string =>
	/^[\da-f]{32}$/.test(token) ? PACKED_TOKEN_MARK + Buffer.from(token, 'hex').toString('base64url') : token;

const unpackToken = (text: string): string =>
	text.startsWith(PACKED_TOKEN_MARK) ? Buffer.from(text.slice(1), 'base64url').toString('hex') : text;

const getHost = (address: string): string => address.split(':')[0]!;

/** Omits the host of the operations address when it equals the host of the peer address. */
const packOperationsAddress = ({address, operationsAddress}: domain.NodeDescription): string =>
	operationsAddress.startsWith(`${getHost(address)}:`)
		? operationsAddress.slice(getHost(address).length)
		: operationsAddress;

const encodeUpdate = ({node, state, refutationCount}: domain.MemberUpdate): string =>
	[
		node.vmId,
		node.address,
		packToken(node.incarnationId),
		node.region,
		node.availabilityZone,
		packOperationsAddress(node),
		STATE_LETTERS[state],
		refutationCount.toString(36),
	]
		.map(field => encodeURI(field))
		.join(' ');

const decodeField = (field: string): string => {
	try {
		return decodeURI(field);
	} catch {
		return '';
	}
};

const decodeUpdate = (text: string): domain.MemberUpdate => {
	const [vmId = '', address = '', token = '', region = '', availabilityZone = '', operations = '', letter = '', count] =
		text.split(' ').map(field => decodeField(field));
	return {
		node: {
			vmId,
			address,
			incarnationId: unpackToken(token),
			region,
			availabilityZone,
			operationsAddress: operations.startsWith(':') ? getHost(address) + operations : operations,
		},
		state: STATES_BY_LETTER.get(letter) as domain.MemberState,
		refutationCount: Number.parseInt(count ?? '', 36),
	};
};

const UPDATE_LIMIT_CHARACTERS = 1024;

/** Encodes one update as a line of eight fields, which takes about 83 bytes; a JSON object would take about 241. */
export const memberUpdateCodec = zod.codec(zod.string().max(UPDATE_LIMIT_CHARACTERS), memberUpdateSchema, {
	decode: decodeUpdate,
	encode: encodeUpdate,
});

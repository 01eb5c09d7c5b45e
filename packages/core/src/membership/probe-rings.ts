import type * as domain from '@bilberrydoor/domain';
import {hashString, mixHashes} from '../routing/rendezvous-ranking.js';
import type {Member} from './member-table.js';

const HASH_RANGE = 2 ** 32;

/**
 * Finds the probed member that follows `address` on the ring whose order is derived from `salt`. Each member has one
 * successor and one predecessor on a ring, so with k rings each is probed by k others, and updates spread quickly over
 * the union of the rings.
 */
export const findRingSuccessor = (
	members: readonly Member[],
	address: string,
	salt: string,
): domain.NodeDescription | undefined => {
	const saltHash = hashString(salt);
	const ownHash = mixHashes(hashString(address), saltHash);
	let successor: Member | undefined;
	let successorDistance = Infinity;
	members.forEach(member => {
		const distance = (mixHashes(member.addressHash, saltHash) - ownHash + HASH_RANGE) % HASH_RANGE;
		if (distance < successorDistance && member.node.address !== address) {
			successor = member;
			successorDistance = distance;
		}
	});
	return successor?.node;
};

/** Peers in its region that the member at `address` probes during a ring period. */
export const listRingSuccessors = (
	members: readonly Member[],
	address: string,
	options: {ringCount: number; period: number},
): domain.NodeDescription[] => {
	const found = Array.from({length: options.ringCount}, (_, ring) =>
		findRingSuccessor(members, address, `${options.period}/${ring}`),
	).filter(node => node !== undefined);
	return [...new Map(found.map(node => [node.address, node])).values()];
};

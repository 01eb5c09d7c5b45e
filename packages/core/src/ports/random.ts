/** Source of randomness, so that tests can fix the seed. */
export type Random = {
	/** Uniform number from 0 to below 1. */
	fraction(): number;
	/** Unguessable token of 32 hexadecimal digits. */
	token(): string;
};

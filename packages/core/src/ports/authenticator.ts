/** Message authentication with the fleet key, and digests. */
export type Authenticator = {
	/** Authentication code of `text` under the current fleet key. */
	sign(text: string): string;
	/** Whether `mac` is the authentication code of `text` under any accepted key. Compares in constant time. */
	verify(text: string, mac: string): boolean;
	/** Unkeyed digest of the concatenated parts, in hexadecimal. */
	digest(parts: Iterable<string | Uint8Array>): string;
};

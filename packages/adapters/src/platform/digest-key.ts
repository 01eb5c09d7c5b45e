import * as crypto from 'node:crypto';

/** SHA-256 digest of a workspace's key, in hexadecimal. Nodes keep and exchange digests only. */
export const digestKey = (key: string): string => crypto.createHash('sha256').update(key).digest('hex');

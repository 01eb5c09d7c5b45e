import * as zod from 'zod';

const nameSchema = zod.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'must be lower-case letters, digits and hyphens');
const listenSchema = zod
	.string()
	.regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IP number and a port, such as 127.0.0.1:8080');
const urlSchema = zod
	.string()
	.regex(/^https?:\/\/[^/]+$/, 'must be a URL without a path, such as http://127.0.0.1:7000');

const listenersSchema = zod.strictObject({
	/** Address for callers. */
	front: listenSchema.default('127.0.0.1:8080'),
	/** Address for other nodes. */
	peer: listenSchema.default('127.0.0.1:8081'),
	/** Address for operators: health, metrics and administration. */
	operations: listenSchema.default('127.0.0.1:8082'),
});

const platformSchema = zod.strictObject({
	logUrl: urlSchema.default('http://127.0.0.1:7000'),
	logStream: nameSchema.default('catalogue'),
	logTimeoutMs: zod.number().int().min(10).max(60_000).default(3000),
	/** How long the log keeps records, in ms. The fleet appends a snapshot four times in that period. */
	logRetentionMs: zod.number().int().min(60_000).default(86_400_000),
	vmListUrl: urlSchema.default('http://127.0.0.1:7001'),
});

const drainSchema = zod.strictObject({
	/** How long a stopping node accepts calls until the load balancer has removed it, in ms. */
	noticeMs: zod.number().int().min(0).max(600_000).default(5000),
	/** Longest wait for calls in flight, in ms. Calls that take longer are aborted and logged. */
	limitMs: zod.number().int().min(0).max(3_600_000).default(660_000),
});

const operatorSchema = zod.strictObject({
	name: nameSchema,
	/** SHA-256 of the bearer token, in hexadecimal. */
	tokenSha256: zod.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest in lower-case hexadecimal'),
	/** Owners whose entries the operator may edit; `*` means all. */
	teams: zod.array(zod.string()).default([]),
});

/** Settings of the daemon. */
export const daemonSettingsSchema = zod.strictObject({
	vmId: nameSchema,
	region: nameSchema,
	availabilityZone: nameSchema,
	/** IP address at which other nodes reach this one. */
	advertisedIp: zod.ipv4().default('127.0.0.1'),
	listeners: listenersSchema.default(listenersSchema.parse({})),
	platform: platformSchema.default(platformSchema.parse({})),
	/** File with the accepted fleet keys, one per line. The first one signs. */
	fleetKeyFile: zod.string().default('fleet.key'),
	logLevel: zod.enum(['debug', 'info', 'warn', 'error']).default('info'),
	drain: drainSchema.default(drainSchema.parse({})),
	operators: zod.array(operatorSchema).default([]),
});

export type DaemonSettings = zod.output<typeof daemonSettingsSchema>;

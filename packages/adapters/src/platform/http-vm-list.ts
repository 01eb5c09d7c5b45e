import type * as core from '@bilberrydoor/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import * as zod from 'zod';

const vmListSchema = zod.object({
	vms: zod.array(
		zod.object({
			vmId: zod.string(),
			address: zod.string(),
			region: zod.string(),
			availabilityZone: zod.string(),
			isFleetNode: zod.boolean(),
			isLeaving: zod.boolean(),
		}),
	),
});

/** Client of the platform's VM list: `GET <url>/vms`. */
export const createHttpVmList = (options: {url: string; timeoutMs?: number}): core.VmList => {
	const timeoutMs = options.timeoutMs ?? 2000;
	return {
		async list(signal) {
			try {
				const timeout = AbortSignal.timeout(timeoutMs);
				const reply = await undici.request(`${options.url}/vms`, {
					signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
				});
				const parsed = vmListSchema.safeParse(await reply.body.json());
				return reply.statusCode === 200 && parsed.success
					? neverthrow.ok(parsed.data.vms)
					: neverthrow.err({detail: `unexpected reply with status ${reply.statusCode}`});
			} catch (error) {
				return neverthrow.err({detail: String(error)});
			}
		},
	};
};

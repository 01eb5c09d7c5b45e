import type * as http from 'node:http';
import type * as domain from '@bilberrydoor/domain';

const waitForDrain = async (outgoing: http.ServerResponse): Promise<void> =>
	new Promise(resolve => {
		const finish = (): void => {
			outgoing.off('drain', finish);
			outgoing.off('close', finish);
			resolve();
		};

		outgoing.on('drain', finish);
		outgoing.on('close', finish);
	});

/**
 * Writes a body with back-pressure. When the body fails, the connection is destroyed, so that the receiver sees an aborted
 * transfer and does not take the truncated body for a complete one.
 */
export const writeBody = async (body: domain.BodyStream, outgoing: http.ServerResponse): Promise<void> => {
	try {
		for await (const chunk of body) {
			if (outgoing.destroyed) {
				return;
			}

			if (!outgoing.write(chunk)) {
				await waitForDrain(outgoing);
			}
		}

		outgoing.end();
	} catch {
		outgoing.destroy();
	}
};

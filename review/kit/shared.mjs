// What all stand-ins share.
import process from 'node:process';

export const host = '127.0.0.1';

/** Whether the case runs with its disruption. */
export const isTroubled = process.env.TROUBLE !== '0';

export const sleep = async ms =>
	new Promise(resolve => {
		setTimeout(resolve, ms);
	});

export const formatSeconds = ms => (ms / 1000).toFixed(3);

import test from 'ava';
import {isConnectError} from '../http/connect-error.js';

const ERROR_CASES = [
	{name: 'a refused connection', fields: {code: 'ECONNREFUSED', syscall: 'connect'}, expected: true},
	{name: 'a connection that took too long', fields: {code: 'UND_ERR_CONNECT_TIMEOUT'}, expected: true},
	{name: 'an unreachable host while connecting', fields: {code: 'EHOSTUNREACH', syscall: 'connect'}, expected: true},
	{name: 'an unreachable host on an open connection', fields: {code: 'EHOSTUNREACH', syscall: 'read'}, expected: false},
	{name: 'an unreachable network while writing', fields: {code: 'ENETUNREACH', syscall: 'write'}, expected: false},
	{name: 'a reset connection', fields: {code: 'ECONNRESET', syscall: 'read'}, expected: false},
];

// Guards against the outcome `not-run` for a request that was sent on an open connection.
ERROR_CASES.forEach(({name, fields, expected}) => {
	test(`${name} ${expected ? 'proves' : 'does not prove'} that nothing was sent`, t => {
		t.is(isConnectError(Object.assign(new Error(name), fields)), expected);
	});
});

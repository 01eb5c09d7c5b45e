import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as core from '@bilberrydoor/core';
import test from 'ava';

const OPERATIONS_PAGE = path.resolve(import.meta.dirname, '../../../../../docs/OPERATIONS.md');

// Guards against a log event that is not documented, and against documented events that no longer exist.
test('the operations page lists every log event with its fields, and no other', async t => {
	const page = await fs.readFile(OPERATIONS_PAGE, 'utf8');
	const section = page.split('## Events')[1]!.split('\n## ')[0]!;
	const rows = section.split('\n').filter(line => line.startsWith('| `'));
	const events = rows.map(row => row.split('`')[1]!);
	t.deepEqual(events.toSorted(), Object.values<string>(core.LogEvent).toSorted());
	t.true(
		rows.every(row =>
			row
				.split('|')
				.slice(2, 5)
				.every(cell => cell.trim() !== ''),
		),
	);
});

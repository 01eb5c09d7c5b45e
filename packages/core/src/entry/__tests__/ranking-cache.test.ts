import type * as domain from '@bilberrydoor/domain';
import test from 'ava';
import {createEligibleNodes} from '../../membership/eligible-nodes.js';
import {rankByRendezvous} from '../../routing/rendezvous-ranking.js';
import {createRankingCache} from '../ranking-cache.js';

const describeNode = (index: number, incarnationId = 'first'): domain.NodeDescription => ({
	vmId: `vm-${index}`,
	address: `10.0.0.${index}:1`,
	incarnationId,
	region: 'pwani',
	availabilityZone: 'temeke',
	operationsAddress: '',
});

// Guards against rankings that differ between nodes, and against recomputing all rankings at each membership change.
test('cached rankings follow membership changes and are rarely recomputed', t => {
	const eligible = createEligibleNodes();
	const cache = createRankingCache({
		directory: {
			regionVersion: eligible.regionVersion,
			listEligibleNodes: eligible.list,
			listEligibleChanges: eligible.listChanges,
		},
		limitCount: 3,
	});
	Array.from({length: 100}, (_, index) => describeNode(index)).forEach(eligible.add);
	const groups = Array.from({length: 200}, (_, index) => `service/pwani/${index}`);
	const changes = Array.from({length: 60}, (_, index) => () => {
		const node = describeNode((index * 37) % 120);
		if (index % 3 === 0) {
			eligible.remove(node);
		} else {
			eligible.add(describeNode((index * 37) % 120, `run-${index}`));
		}
	});
	groups.forEach(group => cache.rank(group, 'pwani'));
	changes.forEach(change => {
		change();
		groups.forEach(group => {
			t.deepEqual(cache.rank(group, 'pwani'), rankByRendezvous(group, eligible.list('pwani'), 3));
		});
	});
	// The first lookups computed 200 rankings. After that 20 nodes left, each of them in 3% of the rankings, so about 120
	// rankings were recomputed in 12,000 lookups.
	t.true(cache.fullRankingCount() < 200 + 300, `${cache.fullRankingCount()} full rankings`);
});

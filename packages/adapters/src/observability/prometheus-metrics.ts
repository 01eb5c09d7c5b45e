import * as core from '@bilberrydoor/core';
import * as prometheus from 'prom-client';

type MetricDefinition = {readonly name: string; readonly help: string; readonly labelNames: readonly string[]};

const COUNTERS: Record<core.CounterName, MetricDefinition> = {
	[core.CounterName.Calls]: {name: 'calls_total', help: 'Calls by ending', labelNames: ['outcome']},
	[core.CounterName.Refusals]: {
		name: 'refusals_total',
		help: 'Calls that ended without an answer, by reason',
		labelNames: ['reason'],
	},
	[core.CounterName.Retries]: {name: 'retries_total', help: 'Retries by reason', labelNames: ['service', 'reason']},
	[core.CounterName.Attempts]: {name: 'attempts_total', help: 'Attempts at targets', labelNames: ['service']},
	[core.CounterName.Ejections]: {
		name: 'ejections_total',
		help: 'Ejections of targets by reason',
		labelNames: ['service', 'reason'],
	},
	[core.CounterName.LateAnswers]: {
		name: 'late_answers_total',
		help: 'Answers dropped because their call had ended',
		labelNames: ['service'],
	},
	[core.CounterName.MismatchedAnswers]: {
		name: 'mismatched_answers_total',
		help: 'Answers dropped because they name another attempt than the one that waited',
		labelNames: ['service'],
	},
	[core.CounterName.UnconfirmedAnswers]: {
		name: 'unconfirmed_answers_total',
		help: 'Answers of targets that do not name the attempt',
		labelNames: ['service'],
	},
	[core.CounterName.LinkBytes]: {
		name: 'link_bytes_total',
		help: 'Body bytes sent across the region link',
		labelNames: ['service', 'workClass'],
	},
	[core.CounterName.CatalogueEdits]: {
		name: 'catalogue_edits_total',
		help: 'Edits read from the log, by verdict',
		labelNames: ['verdict'],
	},
	[core.CounterName.PeerMessages]: {
		name: 'peer_messages_total',
		help: 'Control messages by kind and result',
		labelNames: ['kind', 'result'],
	},
	[core.CounterName.StoreCalls]: {
		name: 'store_calls_total',
		help: "Calls to the platform's store by kind and result",
		labelNames: ['kind', 'result'],
	},
	[core.CounterName.Grants]: {
		name: 'grants_total',
		help: "Requests for slots that this node's dispatchers decided, by standing of the target or by refusal",
		labelNames: ['service', 'result'],
	},
	[core.CounterName.UnreadableRecords]: {
		name: 'unreadable_records_total',
		help: 'Records of the store, or parts of them, that cannot be read, by what follows',
		labelNames: ['topic', 'effect'],
	},
	[core.CounterName.PlacedCalls]: {
		name: 'placed_calls_total',
		help: 'Attempts at targets, by where the target is',
		labelNames: ['relation'],
	},
	[core.CounterName.PlacedBytes]: {
		name: 'placed_bytes_total',
		help: 'Bytes of calls and answers, by where the target is; messages between nodes are estimated',
		labelNames: ['relation'],
	},
	[core.CounterName.RegionStays]: {
		name: 'region_stays_total',
		help: 'Calls that their region did not serve and that did not go to another region, by reason',
		labelNames: ['reason'],
	},
	[core.CounterName.QuotaLeases]: {
		name: 'quota_leases_total',
		help: "Requests to peers for tokens of workspaces' quotas, by result",
		labelNames: ['result'],
	},
	[core.CounterName.QuotaDecisions]: {
		name: 'quota_decisions_total',
		help: 'Calls of workspaces with a quota by result, for the workspaces with the most calls; the others are summed',
		labelNames: ['workspace', 'result'],
	},
	[core.CounterName.ClientLimits]: {
		name: 'client_limits_total',
		help: 'Requests that were refused and connections that were closed because a client reached a limit, by limit',
		labelNames: ['limit'],
	},
};

const GAUGES: Record<core.GaugeName, MetricDefinition> = {
	[core.GaugeName.AppliedOffset]: {name: 'applied_offset', help: 'Offset of the catalogue in force', labelNames: []},
	[core.GaugeName.LiveNodes]: {
		name: 'live_nodes',
		help: 'Nodes that this node considers alive',
		labelNames: ['region'],
	},
	[core.GaugeName.HealthySlots]: {
		name: 'healthy_slots',
		help: 'Slots of healthy targets of a group scheduled here',
		labelNames: ['group'],
	},
	[core.GaugeName.FloorSlots]: {name: 'floor_slots', help: 'Floor of a group scheduled here', labelNames: ['group']},
	[core.GaugeName.QueuedCalls]: {
		name: 'queued_calls',
		help: 'Calls waiting for a slot',
		labelNames: ['group', 'workClass'],
	},
	[core.GaugeName.WaitingCalls]: {
		name: 'waiting_calls',
		help: 'Calls that wait for a slot of a group whose dispatcher runs here',
		labelNames: ['group'],
	},
	[core.GaugeName.OperationRecords]: {name: 'operation_records', help: 'Records of operations', labelNames: []},
	[core.GaugeName.CatalogueAtRisk]: {
		name: 'catalogue_at_risk',
		help: '1 while neither the log nor enough nodes hold the catalogue',
		labelNames: [],
	},
	[core.GaugeName.CatalogueVersion]: {
		name: 'catalogue_version',
		help: 'Version of the catalogue in force on this node',
		labelNames: [],
	},
	[core.GaugeName.RegistryAgeSeconds]: {
		name: 'registry_age_seconds',
		help: 'Age of a registry topic immediately before its latest confirmation',
		labelNames: ['topic'],
	},
	[core.GaugeName.StoreEra]: {
		name: 'store_era',
		help: 'Newest era of the store that this node knows of',
		labelNames: [],
	},
	[core.GaugeName.QuotaAccounts]: {
		name: 'quota_accounts',
		help: 'Workspaces of whose quotas this node leases tokens to others',
		labelNames: [],
	},
	[core.GaugeName.QuotaSharesHeld]: {
		name: 'quota_shares_held',
		help: 'Shares of quotas that this node holds',
		labelNames: [],
	},
};

const HISTOGRAMS: Record<core.HistogramName, MetricDefinition> = {
	[core.HistogramName.CallSeconds]: {
		name: 'call_seconds',
		help: 'Time from admission to the head of the answer',
		labelNames: ['workClass'],
	},
	[core.HistogramName.QueueSeconds]: {
		name: 'queue_seconds',
		help: 'Time that calls waited for a slot',
		labelNames: ['workClass'],
	},
	[core.HistogramName.VerdictAgeSeconds]: {
		name: 'verdict_age_seconds',
		help: 'Age of the latest result of the granted target at the time of the grant',
		labelNames: [],
	},
};

const METRIC_PREFIX = 'bilberrydoor_';
const BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

const mapValues = <Key extends string, Value, Result>(
	table: Record<Key, Value>,
	convert: (value: Value) => Result,
): Record<Key, Result> =>
	Object.fromEntries(Object.entries<Value>(table).map(([key, value]) => [key, convert(value)])) as Record<Key, Result>;

/**
 * Creates the metrics in a new Prometheus registry.
 *
 * @param given.hasProcessMetrics whether to add the default process metrics, whose event loop monitor wakes the process
 * every 10 ms
 */
export const createPrometheusMetrics = (
	given: {hasProcessMetrics?: boolean} = {},
): {metrics: core.Metrics; registry: prometheus.Registry} => {
	const registry = new prometheus.Registry();
	if (given.hasProcessMetrics ?? true) {
		prometheus.collectDefaultMetrics({register: registry, prefix: METRIC_PREFIX});
	}

	const buildConfiguration = (definition: MetricDefinition) => ({
		...definition,
		labelNames: [...definition.labelNames],
		name: METRIC_PREFIX + definition.name,
		registers: [registry],
	});
	const counters = mapValues(COUNTERS, definition => new prometheus.Counter(buildConfiguration(definition)));
	const gauges = mapValues(GAUGES, definition => new prometheus.Gauge(buildConfiguration(definition)));
	const histograms = mapValues(
		HISTOGRAMS,
		definition => new prometheus.Histogram({...buildConfiguration(definition), buckets: BUCKETS_SECONDS}),
	);
	return {
		registry,
		metrics: {
			increment(name, labels, by = 1) {
				counters[name].inc(labels, by);
			},
			set(name, labels, value) {
				gauges[name].set(labels, value);
			},
			observe(name, labels, value) {
				histograms[name].observe(labels, value);
			},
		},
	};
};

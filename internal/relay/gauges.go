package relay

import (
	"sort"
	"strings"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/metrics"
)

// quantiles of the time from a request's routing to its place in the index.
var quantiles = []struct {
	name string
	at   float64
}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}}

// Gauges are the figures of this relay that rise and fall.
func (d *Daemon) Gauges() []metrics.Gauge {
	fleet := d.Relay.View.Fleet
	sessions, tokens := fleet.Gauges()
	gauges := []metrics.Gauge{
		{Name: "sessions", Help: "Sessions bound to a replica.", Figure: float64(sessions)},
		{Name: "held_tokens", Help: "Tokens of the sessions that are bound.", Figure: float64(tokens)},
		{Name: "active", Help: "Requests under way.", Figure: float64(d.Relay.Active())},
		{Name: "relays", Help: "Relays that share the bounds.", Figure: float64(fleet.Share())},
		{Name: "client_connections_open", Help: "Connections of clients.", Figure: float64(d.Relay.openConnections())},
		{Name: "ready", Help: "1 while the relay tells the platform that it is ready.", Figure: metrics.Flag(d.Relay.Ready())},
		{Name: "leaving", Help: "1 from SIGTERM on.", Figure: metrics.Flag(d.Relay.Leaving())},
		{Name: "feed_fresh", Help: "1 while a keeper confirms what this relay was fed.", Figure: metrics.Flag(d.Tail.Fresh(cutAfter))},
		{Name: "kv_quarantined", Help: "Views of replicas that are not trusted.", Figure: float64(fleet.Desk.Index.Quarantined())},
	}
	for _, q := range quantiles {
		if took, ok := fleet.Desk.Index.Latency.At(q.at); ok {
			gauges = append(gauges, metrics.Gauge{Name: "kv_route_to_store_ms", Help: "Time from routing to the index, by quantile.",
				Label: "quantile", Value: q.name, Figure: float64(took / clock.Millisecond)})
		}
	}
	if plan := fleet.Plan(); plan != nil {
		gauges = append(gauges, metrics.Gauge{Name: "pool_plan", Help: "Number of the pool plan in force.", Figure: float64(plan.Num)})
	}
	for service, state := range fleet.Rollouts() {
		gauges = append(gauges, metrics.Gauge{Name: "rollout_weight", Help: "Part of a service's requests that its newest version gets, in percent.",
			Label: "service", Value: string(service), Figure: float64(state.Weight())})
	}
	if table := d.Relay.View.Table(); table != nil {
		gauges = append(gauges, metrics.Gauge{Name: "configuration_version", Help: "Version of the configuration in force.", Figure: float64(table.Version)})
		for service := range table.Services {
			gauges = append(gauges, metrics.Gauge{Name: "budget_left", Help: "Repeats that may be sent now, by service.",
				Label: "service", Value: string(service), Figure: d.Relay.Budget.Left(service)})
		}
	}
	sort.SliceStable(gauges, func(i, j int) bool { return gauges[i].Value < gauges[j].Value })
	return gauges
}

// reported are the gauges under the names that reports between daemons use.
func reported(gauges []metrics.Gauge) map[string]float64 {
	out := map[string]float64{}
	for _, gauge := range gauges {
		name := gauge.Name
		switch {
		case strings.HasPrefix(name, "kv_"):
			name = "kv." + strings.ReplaceAll(strings.TrimPrefix(name, "kv_"), "_", "-")
		case name == "pool_plan":
			name = "pool.plan"
		}
		if gauge.Label != "" {
			name += "." + gauge.Value
		}
		out[name] = gauge.Figure
	}
	return out
}

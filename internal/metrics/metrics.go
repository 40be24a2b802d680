// Package metrics serves the counters and gauges of a daemon as Prometheus text.
package metrics

import (
	"bytes"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"spoolswitch/internal/telemetry"
)

const namespace = "spoolswitch"

// ContentType is the content type of the text.
var ContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Gauge is a figure that may rise and fall. Label and Value, if set, tell apart
// the figures of one name.
type Gauge struct {
	Name, Help   string
	Label, Value string
	Figure       float64
}

// Flag is the figure of a gauge that is on or off.
func Flag(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// family is a group of counters whose names begin alike; what follows in a name
// becomes the values of the labels.
type family struct {
	prefix, name, help string
	labels             []string
}

// families are looked through in order: a longer prefix stands before a shorter one.
var families = []family{
	{telemetry.EarlyEndPrefix, "early_ends_total", "Answers and connections that the daemon ended early, by way and numbered cause (docs/codes.md).", []string{"how", "cause"}},
	{"own.", "own_answers_total", "Answers of the relay's own, by status.", []string{"status"}},
	{"control.", "control_answers_total", "Answers to operators, by status.", []string{"status"}},
	{"send.", "sends_total", "Requests sent to replicas, by what came of them.", []string{"outcome"}},
	{"kv.lookup.", "cache_lookups_total", "Lookups in the cache index, by result.", []string{"result"}},
	{"wire.out.", "messages_out_bytes_total", "Bytes sent to other daemons, by kind of message.", []string{"kind"}},
	{"feed.items.", "feed_items_total", "Items fed to relays, by key.", []string{"key"}},
	{"feed.bytes.", "feed_bytes_total", "Bytes fed to relays, by key.", []string{"key"}},
}

// Text is the daemon's counters, and the gauges that are given, as Prometheus text.
func Text(role string, gauges []Gauge) ([]byte, error) {
	registry := prometheus.NewRegistry()
	registerer := prometheus.WrapRegistererWith(prometheus.Labels{"role": role}, registry)
	if err := registerCounters(registerer); err != nil {
		return nil, err
	}
	if err := registerGauges(registerer, gauges); err != nil {
		return nil, err
	}
	groups, err := registry.Gather()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	encoder := expfmt.NewEncoder(&out, expfmt.NewFormat(expfmt.TypeTextPlain))
	for _, group := range groups {
		if err := encoder.Encode(group); err != nil {
			return nil, err
		}
	}
	return out.Bytes(), nil
}

func registerCounters(registerer prometheus.Registerer) error {
	vectors := map[string]*prometheus.CounterVec{}
	for _, counter := range telemetry.Read() {
		group, values := familyOf(counter.Name)
		vector := vectors[group.name]
		if vector == nil {
			vector = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: group.name, Help: group.help}, group.labels)
			if err := registerer.Register(vector); err != nil {
				return err
			}
			vectors[group.name] = vector
		}
		vector.WithLabelValues(values...).Add(float64(counter.N))
	}
	return nil
}

func registerGauges(registerer prometheus.Registerer, gauges []Gauge) error {
	vectors := map[string]*prometheus.GaugeVec{}
	for _, gauge := range gauges {
		var labels, values []string
		if gauge.Label != "" {
			labels, values = []string{gauge.Label}, []string{gauge.Value}
		}
		vector := vectors[gauge.Name]
		if vector == nil {
			vector = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: gauge.Name, Help: gauge.Help}, labels)
			if err := registerer.Register(vector); err != nil {
				return err
			}
			vectors[gauge.Name] = vector
		}
		vector.WithLabelValues(values...).Set(gauge.Figure)
	}
	return nil
}

// familyOf finds the family of a counter and the values of its labels. A counter
// of no family is one by itself.
func familyOf(counter string) (family, []string) {
	for _, group := range families {
		rest, ok := strings.CutPrefix(counter, group.prefix)
		if !ok {
			continue
		}
		values := strings.SplitN(rest, ".", len(group.labels))
		if len(values) == len(group.labels) {
			return group, values
		}
	}
	return family{name: metricName(counter) + "_total", help: "Counter " + counter + " (docs/operators.md)."}, nil
}

func metricName(counter string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(counter)
}

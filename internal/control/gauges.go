package control

import (
	"strconv"

	"spoolswitch/internal/ids"
	"spoolswitch/internal/metrics"
)

// Gauges are the figures of this keeper that rise and fall.
func (d *Daemon) Gauges() []metrics.Gauge {
	report := d.Keeper.Report("")
	gauges := []metrics.Gauge{
		{Name: "voting", Help: "1 while the keeper's disk counts in majorities.", Figure: metrics.Flag(report.Voting)},
		{Name: "confirmed", Help: "1 while a majority has confirmed the keeper of late.", Figure: metrics.Flag(report.Sure)},
		{Name: "answers", Help: "1 while the keeper answers operators.", Figure: metrics.Flag(report.Answers)},
		{Name: "roster_seats", Help: "Seats of the roster that the keeper knows.", Figure: float64(len(report.Roster.Seat))},
		{Name: "roster_number", Help: "Number of that roster.", Figure: float64(report.Roster.Num)},
		{Name: "followers", Help: "Relays that this keeper feeds.", Figure: float64(len(d.Hub.Relays()))},
		{Name: "feed_number", Help: "Number of the newest item of the feed.", Figure: float64(d.Hub.Num())},
	}
	if value, _ := d.Hub.Value(ids.Configuration); value != nil {
		if version, err := strconv.ParseFloat(label(ids.Configuration, value), 64); err == nil {
			gauges = append(gauges, metrics.Gauge{Name: "configuration_version", Help: "Version of the configuration in force.", Figure: version})
		}
	}
	return gauges
}

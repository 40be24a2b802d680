package rollout

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Reports hold what was counted since the last one; together they make the whole, whatever
// else was counted for another order.
func TestReportsAddUp(t *testing.T) {
	is := is.New(t)
	counted := Counts{Number: 3}
	sum := &Counts{Number: 3}
	var told *Report
	for i := range 50 {
		counted.See(fmt.Sprint("r", i%3), i%4 == 0, ids.Replica(fmt.Sprint("i-", i%7)), Outcome{Failed: i%5 == 0, Slow: i%6 == 0, Refused: i%11 == 0})
		counted.See("r0", true, "i-1", Outcome{Begun: true, Failed: true})
		now := &Report{Services: map[ids.Service]*Counts{"s": counted.Clone()}}
		got, err := DecodeReport(now.Minus(told).Encode())
		is.NoErr(err)
		sum.Add(got.Services["s"])
		told = now
	}
	is.Equal(sum.Routes, counted.Routes)
	is.Equal(sum.Text(), counted.Text())
	total := sum.Routes["r0"].Total()
	is.True(total.Requests > 0 && total.Failed >= 50)
	other := (&Counts{Number: 4}).Minus(&counted)
	is.Equal(len(other.Routes), 0)
}

func TestBadReports(t *testing.T) {
	is := is.New(t)
	_, err := DecodeReport([]byte("x"))
	is.Equal(codes.Of(err), codes.BadCounts)
	_, err = DecodeReport(make([]byte, reportMost+1))
	is.Equal(codes.Of(err), codes.BadCounts)
	for _, tally := range []*RouteTally{{Stable: Tally{Requests: -1}}, {Candidate: [Groups]Tally{3: {Failed: -1}}}} {
		_, err = DecodeReport((&Report{Services: map[ids.Service]*Counts{"s": {Routes: map[string]*RouteTally{"r": tally}}}}).Encode())
		is.Equal(codes.Of(err), codes.BadCounts)
	}
	many := &Counts{}
	for i := range 500 {
		many.See(fmt.Sprint("r", i), false, "i-1", Outcome{})
	}
	is.True(len(many.Routes) <= routesMost+1)
	is.Equal(many.Routes[otherRoutes].Stable.Requests, int64(500-routesMost))
}

package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/configuration"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
)

// Duty, CONFIG: each part of a distribution gets the share of its weight, also of
// few requests at several relays, whatever their ids.
func TestSharesFollowWeights(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for name, id := range map[string]func(i int) string{
		"random":    func(int) string { return fmt.Sprintf("%016x", draw.Uint64()) },
		"counted":   func(i int) string { return fmt.Sprintf("try-%06d", i) },
		"last char": func(i int) string { return fmt.Sprintf("%012x%04x", 7, i) },
	} {
		for _, weights := range [][]float64{{50, 50}, {90, 10}, {60, 30, 10}} {
			t.Run(fmt.Sprint(name, weights), func(t *testing.T) {
				is := is.New(t)
				route := &configuration.Route{TimeoutMs: 3000}
				sum := 0.0
				for i, w := range weights {
					route.Shares = append(route.Shares, configuration.Share{Service: ids.Service(fmt.Sprint(i)), Weight: w})
					sum += w
				}
				for _, x := range []struct {
					requests int
					off      float64
				}{{300, 0.025}, {20000, 0.002}} {
					got := map[ids.Service]float64{}
					relays := make([]Relay, 11)
					for i := range x.requests {
						n := &Request{Head: &httpmessage.Request{}, attemptID: []byte(id(i)), route: route, relay: &relays[i*7%len(relays)]}
						is.NoErr(n.parse())
						got[n.ask.Service]++
					}
					for i, w := range weights {
						is.True(math.Abs(got[ids.Service(fmt.Sprint(i))]/float64(x.requests)-w/sum) < x.off)
					}
				}
			})
		}
	}
}

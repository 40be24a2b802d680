package control

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/ids"
)

// sureKeeper is the status of a keeper that may feed.
type sureKeeper struct{}

func (sureKeeper) Life() uint64                               { return 1 }
func (sureKeeper) Sure(clock.Span) bool                       { return true }
func (sureKeeper) Relays() int                                { return 1 }
func (sureKeeper) ListAge() clock.Span                        { return 0 }
func (sureKeeper) KeeperZones() map[ids.Node]ids.Zone         { return nil }
func (sureKeeper) FedElsewhere(ids.Zone) bool                 { return false }
func (sureKeeper) Confirmed(clock.Span) bool                  { return true }
func (sureKeeper) SeatZones() (uint64, map[ids.Node]ids.Zone) { return 0, nil }
func (sureKeeper) Rounds() bool                               { return true }

// fedRelay is what one relay was fed, a message at a time.
type fedRelay struct {
	mu    sync.Mutex
	items []consensus.Item
	over  bool
	// fed is set after each message.
	fed *concurrency.Mark
}

var errOver = errors.New("over")

func (r *fedRelay) push(m consensus.Msg) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = append(r.items, m.Items...)
	r.fed.Set()
	if r.over {
		return errOver
	}
	return nil
}

// await waits until the relay has been fed so many items, and returns all.
func (r *fedRelay) await(t *testing.T, n int) []consensus.Item {
	t.Helper()
	for {
		r.mu.Lock()
		items := r.items
		r.mu.Unlock()
		if len(items) >= n {
			return items
		}
		if !r.fed.Wait(20 * clock.Second) {
			t.Fatalf("fed %d items, not %d", len(items), n)
		}
	}
}

// feedSizes feeds relays a configuration and a list, then three changes of the one and one of the
// other. Each relay must get each value whole once and each change once. It tells the bytes of the
// list whole, and of the change of one replica.
func feedSizes(t *testing.T, relays, replicas int) (whole, change int) {
	is := is.New(t)
	hub := feed.NewHub()
	hub.Status, hub.Diff, hub.Trim = sureKeeper{}, diff, trim
	listed := make([]discovery.Replica, replicas)
	for i := range listed {
		listed[i] = discovery.Replica{ID: ids.Replica(fmt.Sprintf("i-%08x", uint32(i)*2654435761)), Service: "s", Addr: ids.Addr(fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)), Zone: "z", Slots: 8, State: "in_service"}
	}
	fed := make([]*fedRelay, relays)
	num := 0
	publish := func(key ids.Key, val []byte) {
		num++
		is.True(hub.Publish(consensus.Item{Key: key, At: ids.Place{Epoch: ids.Epoch{Round: 1}, Seq: uint64(num)}, Val: val}))
		for _, r := range fed {
			if r != nil {
				is.Equal(len(r.await(t, num)), num) // each once
			}
		}
	}
	configured := func(version ids.Version) []byte {
		doc := fmt.Sprintf(`{"version":%d,"route-table":[{"name":"a","authority":"h","path-prefix":"/a/","route-class":"safe","timeout-ms":%d,"service":"s"}],"service-table":[{"name":"s"}],"limits":{}}`, version, 1000+version)
		return (&configuration.State{Version: version, JSON: []byte(doc), Oldest: version}).Encode()
	}
	publish(ids.Configuration, configured(1))
	publish(ids.List, discovery.Encode(listed))
	for n := range fed {
		r := &fedRelay{fed: concurrency.NewMark()}
		concurrency.Go(func() { hub.Follow(consensus.Msg{From: ids.Node(fmt.Sprint("relay-", n))}, r.push) })
		r.await(t, num)
		fed[n] = r
	}
	for version := range 3 {
		publish(ids.Configuration, configured(ids.Version(2+version)))
	}
	listed[replicas/2].State = "draining"
	publish(ids.List, discovery.Encode(listed))
	for _, r := range fed {
		r.mu.Lock()
		r.over = true
		items := r.items
		r.mu.Unlock()
		is.Equal(len(items), num)
		last := items[num-1]
		is.Equal(last.Key, ids.List)
		is.True(!last.Base.Zero()) // told as a change
		delta, ok := discovery.DecodeDelta(unpacked(t, last))
		is.True(ok)
		is.Equal(len(delta.Up), 1)
		rs, ok := discovery.Decode(unpacked(t, items[0]))
		is.True(ok)
		is.Equal(len(rs), replicas)
		whole, change = len(unpacked(t, items[0])), len(last.Val)
	}
	return whole, change
}

func unpacked(t *testing.T, it consensus.Item) []byte {
	t.Helper()
	if !it.Packed {
		return it.Val
	}
	val, err := deflate.Unpack(it.Val)
	if err != nil {
		t.Fatal(err)
	}
	return val
}

// At two sizes: a relay gets each value and each change once, however many relays follow; replicas
// are told whole once, and a change of one replica does not grow with how many there are.
func TestFeedAtTwoSizes(t *testing.T) {
	is := is.New(t)
	whole, change := feedSizes(t, 6, 60)
	wholeOfMany, changeOfMany := feedSizes(t, 24, 240)
	is.True(wholeOfMany > 2*whole)
	is.True(float64(wholeOfMany) < 4.5*float64(whole))
	is.True(changeOfMany <= change+16)
}

// Package feed brings committed values from keepers to relays: a snapshot
// first, then numbered changes.
package feed

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

const (
	// idle is the longest pause between two messages to a follower.
	idle         = clock.Second
	applyDefault = 2 * clock.Second
)

type kept struct {
	it    consensus.Item
	since clock.Tick
	// fed is what followers get of the value, and whole the same as it is sent,
	// nil before the first time; packed says whether that is compressed.
	fed, whole []byte
	packed     bool
}

// toSend is the value as a new follower gets it. It is compressed once for all.
func (v *kept) toSend() (whole []byte, packed bool) {
	if v.whole == nil {
		v.whole, v.packed = deflate.Pack(v.fed)
	}
	return v.whole, v.packed
}

// pastKept is how many earlier values changes can be told from.
const pastKept = 8

type follower struct {
	has  map[ids.Key]ids.Place
	name ids.Node
	addr ids.Addr
	mark *concurrency.Mark
	num  uint64
}

// Status is what the hub says of its keeper with each message.
type Status interface {
	Life() uint64
	Sure(clock.Span) bool
	Relays() int
	ListAge() clock.Span
	KeeperZones() map[ids.Node]ids.Zone
	// FedElsewhere tells whether a zone is another than the keeper's and has a
	// keeper that feeds.
	FedElsewhere(z ids.Zone) bool
	// SeatZones tells the zone of each seat of the roster that the keeper goes
	// by, with its number, and Rounds whether it can ever become sure.
	// Confirmed waits for a majority's confirmation that began after the call.
	Confirmed(timeout clock.Span) bool
	SeatZones() (uint64, map[ids.Node]ids.Zone)
	Rounds() bool
}

// Hub is the keeper's end of the feed.
type Hub struct {
	Status Status
	// Apply is the time within which a change has to be in force everywhere.
	Apply clock.Span
	// Diff tells what changed from one value of a key to the next, nil if that
	// cannot be told or is not worth it. Without it values are fed whole.
	Diff func(key ids.Key, old, fresh []byte) []byte
	// Trim leaves out of a value what only keepers need. Without it followers get
	// values as they are.
	Trim func(key ids.Key, val []byte) []byte

	mu    sync.Mutex
	past  map[ids.Key][]version
	steps map[step]change
	num   uint64
	sure  bool
	items map[ids.Key]*kept
	who   []*follower
}

// NewHub makes an empty hub.
func NewHub() *Hub { return &Hub{items: map[ids.Key]*kept{}, past: map[ids.Key][]version{}} }

func (h *Hub) freshFor() clock.Span {
	if h.Apply > 0 {
		return h.Apply / 2
	}
	return applyDefault / 2
}

// Publish takes a value in; false if it is not newer than what is there.
func (h *Hub) Publish(it consensus.Item) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if have, ok := h.items[it.Key]; ok && !have.it.At.Less(it.At) {
		return false
	}
	h.num++
	it.Num = h.num
	v := &kept{it: it, since: h.standsSince(it), fed: it.Val}
	if h.Trim != nil {
		v.fed = h.Trim(it.Key, it.Val)
	}
	h.items[it.Key] = v
	h.remember(v)
	for _, f := range h.who {
		f.mark.Set()
	}
	return true
}

// standsSince is since when the hub knows an item's value. An owner that wins a key writes its value
// again at a place of its own, which makes that no younger.
func (h *Hub) standsSince(it consensus.Item) clock.Tick {
	if have, ok := h.items[it.Key]; ok && it.Key.Kept() && bytes.Equal(have.it.Val, it.Val) {
		return have.since
	}
	return clock.Now()
}

// Check has followers told at once when their keeper has become sure or is so
// no longer.
func (h *Hub) Check() {
	now := h.Status.Sure(h.freshFor())
	h.mu.Lock()
	defer h.mu.Unlock()
	if now == h.sure {
		return
	}
	h.sure = now
	for _, f := range h.who {
		f.mark.Set()
	}
}

// Known tells the place of each value that the hub has.
func (h *Hub) Known() map[ids.Key]ids.Place {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[ids.Key]ids.Place, len(h.items))
	for k, v := range h.items {
		out[k] = v.it.At
	}
	return out
}

// Value reads one value.
func (h *Hub) Value(k ids.Key) ([]byte, ids.Place) {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.items[k]
	if v == nil {
		return nil, ids.Place{}
	}
	return v.it.Val, v.it.At
}

// Age tells how long the hub has had the value of a key, at whatever places; 0 if it has none.
func (h *Hub) Age(k ids.Key) clock.Span {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := h.items[k]; v != nil {
		return clock.Since(v.since)
	}
	return 0
}

// Num is the number of the newest change.
func (h *Hub) Num() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.num
}

// Followers names the relays that follow.
func (h *Hub) Followers() []ids.Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []ids.Node
	for _, f := range h.who {
		out = append(out, f.name)
	}
	return out
}

// Relays tells where each follower answers traces.
func (h *Hub) Relays() map[ids.Node]ids.Addr {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[ids.Node]ids.Addr{}
	for _, f := range h.who {
		out[f.name] = f.addr
	}
	return out
}

func turn(k ids.Key) int {
	switch k {
	case ids.Configuration:
		return 2
	case ids.List:
		return 1
	}
	return 0
}

const briefFor = 10 * clock.Second

func (h *Hub) since(f *follower, n uint64) ([]consensus.Item, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []consensus.Item
	for k, v := range h.items {
		if v.it.Brief() && clock.Since(v.since) > briefFor {
			delete(h.items, k)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(h.items)) {
		v := h.items[k]
		if v.it.Num > n && v.it.Key != ids.Roster && !v.it.Key.Duty() && f.has[k].Less(v.it.At) {
			out = append(out, h.item(f, v))
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := turn(out[i].Key), turn(out[j].Key); a != b {
			return a < b
		}
		return out[i].Num < out[j].Num
	})
	return out, h.num
}

const confirmTimeout = 2 * clock.Second

// Confirm answers a relay that asks whether what it is fed is current: after a
// majority's confirmation that began when the question was here, with the
// number up to which the relay must have been fed by then.
func (h *Hub) Confirm(m consensus.Msg) consensus.Msg {
	timeout := confirmTimeout
	if m.Left > 0 {
		timeout = min(timeout, m.Left)
	}
	if !h.Status.Confirmed(timeout) {
		return consensus.Msg{Code: codes.NoMajority}
	}
	return consensus.Msg{OK: true, Life: h.Status.Life(), Num: h.Num(), Count: h.Status.Relays(), ListAge: h.Status.ListAge()}
}

// homeWait is how long a relay of another zone has to go over to a keeper of its
// own before it is fed.
const homeWait = 200 * clock.Millisecond

// homeFirst tells whether a relay that has not yet looked for a keeper of its own
// zone will find one: a whole snapshot need not cross zones for it.
func (h *Hub) homeFirst(m consensus.Msg) bool {
	return m.Stray && h.Status.Sure(h.freshFor()) && h.Status.FedElsewhere(m.Zone)
}

// greeting names the keepers, and feeds nothing.
func (h *Hub) greeting() consensus.Msg {
	m := consensus.Msg{Kind: consensus.Follow, Life: h.Status.Life(), Greeting: true, KeeperZones: h.Status.KeeperZones()}
	m.Roster.Num, m.SeatZones = h.Status.SeatZones()
	return m
}

// Follow feeds one relay until it is gone.
func (h *Hub) Follow(m consensus.Msg, push func(consensus.Msg) error) {
	f := &follower{has: map[ids.Key]ids.Place{}, name: m.From, addr: m.Addr, mark: concurrency.NewMark()}
	maps.Copy(f.has, m.Places)
	if m.Life == h.Status.Life() {
		f.num = m.Num
	}
	h.mu.Lock()
	h.who = append(h.who, f)
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		h.who = slices.DeleteFunc(h.who, func(o *follower) bool { return o == f })
		h.mu.Unlock()
	}()
	if h.homeFirst(m) {
		if push(h.greeting()) != nil {
			return
		}
		f.mark.Wait(homeWait)
	}
	first := true
	zones := -1
	var seats map[ids.Node]ids.Zone
	for {
		out := consensus.Msg{Kind: consensus.Follow, Life: h.Status.Life(), Fresh: h.Status.Sure(h.freshFor()),
			Count: h.Status.Relays(), ListAge: h.Status.ListAge()}
		if out.Fresh {
			out.Snapshot = first && f.num == 0
			out.Items, out.Num = h.since(f, f.num)
			if l := h.Status.KeeperZones(); len(l) != zones {
				out.KeeperZones, zones = l, len(l)
			}
		} else if !h.Status.Rounds() {
			out.Code = codes.NotVoting
		}
		if num, l := h.Status.SeatZones(); !maps.Equal(l, seats) {
			out.Roster.Num, out.SeatZones, seats = num, l, l
		}
		for _, it := range out.Items {
			name := strings.Split(string(it.Key), "/")[0]
			telemetry.Counter("feed.items." + name).Add(1)
			telemetry.Counter("feed.bytes." + name).Add(int64(len(it.Val)))
		}
		if err := push(out); err != nil {
			return
		}
		if out.Fresh {
			f.num, first = out.Num, false
		}
		f.mark.Wait(idle)
	}
}

var _ consensus.Sink = (*Hub)(nil)

var (
	newsTaken = telemetry.Counter("feed.news")
	newsGap   = telemetry.Counter("feed.news-anew")
)

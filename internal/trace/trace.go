// Package trace follows one change through all daemons.
package trace

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
)

// Ask asks one daemon for its report on a key.
type Ask func(a ids.Addr, key ids.Key, timeout clock.Span) (*consensus.Report, error)

// Wire asks over the wire.
func Wire(a ids.Addr, key ids.Key, timeout clock.Span) (*consensus.Report, error) {
	p := rpc.NewPeer[consensus.Msg](a)
	defer p.Close()
	m, err := p.Call(consensus.Msg{Kind: consensus.Trace, Key: key}, timeout)
	if err != nil {
		return nil, err
	}
	if m.Report == nil {
		return nil, codes.New(codes.NoCall, "%s tells no trace", a)
	}
	return m.Report, nil
}

// Relay is where a relay stands with the change.
type Relay struct {
	Node    ids.Node
	Keeper  ids.Addr
	Feed    uint64
	Applied bool
	Ago     clock.Span
	Version ids.Version
}

// Trace is all that is known of one change.
type Trace struct {
	Key     ids.Key
	Label   string
	Owner   ids.Node
	At      ids.Place
	Voted   []ids.Node
	Synced  []ids.Node
	InFeed  map[ids.Node]clock.Span
	Feeds   map[ids.Node]uint64
	Relays  []Relay
	Silent  []string
	Reports []*consensus.Report `json:"-"`
}

// Fleet asks all daemons that a keeper knows of, within timeout.
func Fleet(ask Ask, first ids.Addr, key ids.Key, timeout clock.Span) ([]*consensus.Report, []string, error) {
	r, err := ask(first, key, timeout)
	if err != nil {
		return nil, nil, codes.New(codes.PeerLost, "%s: %v", first, err)
	}
	var mu sync.Mutex
	out := []*consensus.Report{r}
	var silent []string
	gather := func(who map[string]ids.Addr) {
		done := concurrency.NewMark()
		left := len(who)
		if left == 0 {
			return
		}
		for n, a := range who {
			concurrency.Go(func() {
				r, err := ask(a, key, timeout)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					silent = append(silent, n)
				} else {
					out = append(out, r)
				}
				if left--; left == 0 {
					done.Set()
				}
			})
		}
		done.Wait(2 * timeout)
	}
	keepers, relays := map[string]ids.Addr{}, map[string]ids.Addr{}
	for _, n := range slices.Concat(r.Roster.All(), r.Others) {
		if n != r.Node {
			keepers[string(n)] = ids.Addr(n)
		}
	}
	gather(keepers)
	mu.Lock()
	for _, k := range out {
		for n, a := range k.Relays {
			relays[string(n)] = a
		}
	}
	mu.Unlock()
	gather(relays)
	mu.Lock()
	defer mu.Unlock()
	sort.Strings(silent)
	sort.Slice(out, func(i, j int) bool { return out[i].Role+string(out[i].Node) < out[j].Role+string(out[j].Node) })
	return out, silent, nil
}

// Change traces the change of a key that carries a label.
func Change(ask Ask, first ids.Addr, key ids.Key, label string, timeout clock.Span) (*Trace, error) {
	rs, silent, err := Fleet(ask, first, key, timeout)
	if err != nil {
		return nil, err
	}
	t := &Trace{Key: key, Label: label, InFeed: map[ids.Node]clock.Span{}, Feeds: map[ids.Node]uint64{}, Silent: silent, Reports: rs}
	for _, r := range rs {
		for _, s := range r.Steps {
			if s.Label == label && (t.At.Zero() || t.At.Less(s.At)) {
				t.At = s.At
			}
		}
	}
	known := !t.At.Zero()
	t.Owner = t.At.Epoch.Node
	voted, synced := map[ids.Node]bool{}, map[ids.Node]bool{}
	for _, r := range rs {
		for _, s := range r.Steps {
			switch {
			case s.What == "voted" && s.At.Epoch == t.At.Epoch:
				voted[s.Node] = true
			case s.What == "synced" && s.At == t.At:
				synced[s.Node] = true
			case s.What == "in the feed" && s.Label == label:
				if ago, ok := t.InFeed[r.Node]; !ok || s.Ago > ago {
					t.InFeed[r.Node] = s.Ago
				}
			}
		}
		if r.Role == "keeper" {
			t.Feeds[r.Node] = r.Feed
			continue
		}
		ago, ok := r.Applied[string(key)+" "+label]
		known = known || ok
		t.Relays = append(t.Relays, Relay{Node: r.Node, Keeper: r.Keeper, Feed: r.Feed, Applied: ok, Ago: ago, Version: r.Version})
	}
	t.Voted, t.Synced = names(voted), names(synced)
	if !known {
		return nil, codes.New(codes.UnknownChange, "%s %s", key, label)
	}
	return t, nil
}

func names(m map[ids.Node]bool) []ids.Node {
	var out []ids.Node
	for n := range m {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func ms(d clock.Span) string { return fmt.Sprintf("%d ms ago", d/clock.Millisecond) }

// Text is the trace for people.
func (t *Trace) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s\n", t.Key, t.Label)
	if t.At.Zero() {
		b.WriteString("  owner    not kept any more\n")
	} else {
		fmt.Fprintf(&b, "  owner    %s, lease %d, place %s\n", t.Owner, t.At.Epoch.Round, t.At)
		fmt.Fprintf(&b, "  ballots  %v\n  synced   %v\n", t.Voted, t.Synced)
	}
	for _, n := range sortedKeys(t.Feeds) {
		if ago, ok := t.InFeed[n]; ok {
			fmt.Fprintf(&b, "  keeper   %s in its feed %s (feed at %d)\n", n, ms(ago), t.Feeds[n])
		} else {
			fmt.Fprintf(&b, "  keeper   %s has not noted it (feed at %d)\n", n, t.Feeds[n])
		}
	}
	for _, r := range t.Relays {
		if r.Applied {
			fmt.Fprintf(&b, "  relay    %s in force %s (from %s, feed at %d)\n", r.Node, ms(r.Ago), r.Keeper, r.Feed)
		} else {
			fmt.Fprintf(&b, "  relay    %s has it not in force (version %d, from %s, feed at %d)\n", r.Node, r.Version, r.Keeper, r.Feed)
		}
	}
	for _, n := range t.Silent {
		fmt.Fprintf(&b, "  silent   %s\n", n)
	}
	return b.String()
}

func sortedKeys(m map[ids.Node]uint64) []ids.Node {
	b := map[ids.Node]bool{}
	for n := range m {
		b[n] = true
	}
	return names(b)
}

// Package scale measures how what the control plane needs grows with the fleet:
// real keepers, hollow relays that follow them over the real wire, and a list
// of replicas that are only listed.
package scale

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/standin"
	"spoolswitch/internal/telemetry"
	"spoolswitch/internal/trace"
)

// Size is the size of one run.
type Size struct {
	Keepers, Relays, Replicas, Routes int
	// Changes is how many changes of the configuration are made, and how many of
	// the list.
	Changes int
	// Idle is how long the fleet is watched while nothing changes.
	Idle clock.Span
}

// Daemon is one started daemon. CPU and Memory are 0 if it has no process of
// its own.
type Daemon interface {
	Stop()
	CPU() clock.Span
	Memory() int64
}

// Starter starts a keeper from the text of its settings.
type Starter func(node, settings string) (Daemon, error)

// Report is what one run measured. Figures are for each daemon of the kind.
type Report struct {
	Size Size
	// IdleOut and IdleIn are bytes a second of a keeper between daemons while
	// nothing changes, IdleSent its messages a second, IdleCPU its part of a core.
	IdleOut, IdleIn, IdleSent, IdleCPU float64
	// RelayIdleIn is bytes a second into a relay.
	RelayIdleIn float64
	// ChangeItems is how many items a relay got for a change of the
	// configuration, ChangeIn the bytes, ChangeMs the slowest relay's time from
	// the order on, ChangeCPU what a keeper spent on one.
	ChangeItems, ChangeIn, ChangeMs float64
	ChangeCPU                       clock.Span
	// ListItems and ListIn are the same for a change of the list, of one replica.
	ListItems, ListIn float64
	// Snapshot is the bytes that a relay got to begin with, and Listed how many
	// replicas the relay with the fewest knew then.
	Snapshot float64
	Listed   int
	// SnapshotValues is the bytes of the values in it, as a relay took them.
	SnapshotValues float64
	// Memory is a keeper's at its peak, in bytes.
	Memory int64
}

type run struct {
	size    Size
	base    int
	plat    *standin.Platform
	keepers []Daemon
	relays  []*hollow
	reps    []discovery.Replica
}

const (
	settleMost = 60 * clock.Second
	portsTaken = 20
	homeMost   = 3 * clock.Second
)

func (r *run) ip(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func (r *run) control(i int) ids.Addr {
	return ids.Addr(fmt.Sprintf("%s:%d", r.ip(i), r.base+10))
}

func (r *run) keeper(i int) ids.Addr { return ids.Addr(fmt.Sprintf("%s:%d", r.ip(i), r.base)) }

func (r *run) settings(i int, dir string) string {
	var seeds []string
	for j := range min(3, r.size.Keepers) {
		seeds = append(seeds, fmt.Sprintf("%q", r.control(j)))
	}
	return fmt.Sprintf(`
node-name = "keeper-%d"
ip = %q
zone = "z%d"
internal-ports = [%d, %d]
seed-nodes = [%s]
initial-start = true
data-dir = %q
[zones]
z0 = "r"
z1 = "r"
z2 = "r"
[bindings]
control-addr = %q
[limits]
memory-mb = 1024
file-descriptors = 4096
[fault-tolerance]
machine-losses = 1
zones = 1
[platform-api]
address = %q
rate-per-s = 1000
`, i, r.ip(i), i%3, r.base, r.base+9, strings.Join(seeds, ", "), dir, r.control(i), r.plat.Addr)
}

// ports finds a run of free ports.
func ports() int {
	for {
		b := 21000 + rand.IntN(400)*portsTaken
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.1.1:%d", b))
		if err != nil {
			continue
		}
		_ = l.Close()
		return b
	}
}

// Run measures one size. It ends by itself.
func Run(s Size, start Starter, dir func(i int) string) (*Report, error) {
	r := &run{size: s, base: ports(), plat: standin.NewPlatform(1 << 20)}
	for i := range s.Replicas {
		r.reps = append(r.reps, discovery.Replica{ID: ids.Replica(fmt.Sprintf("i-%08x", i)), Service: "pool", Addr: ids.Addr(fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)),
			Zone: ids.Zone(fmt.Sprintf("z%d", i%3)), Version: "v1", Slots: 24, State: "in_service", Stage: "combined", Models: []discovery.Model{{Name: "m", Version: 1}}})
	}
	r.plat.Set(r.reps...)
	defer func() {
		for _, k := range r.keepers {
			k.Stop()
		}
	}()
	for i := range s.Keepers {
		k, err := start(fmt.Sprintf("keeper-%d", i), r.settings(i, dir(i)))
		if err != nil {
			return nil, err
		}
		r.keepers = append(r.keepers, k)
	}
	out := &Report{Size: s}
	if err := r.replace(0, 1); err != nil {
		return nil, err
	}
	if !until(func() bool { return r.read(r.keeper(0)) != nil && r.listed() }) {
		return nil, codes.New(codes.PeerLost, "no list at the keepers")
	}
	in0 := bytesIn()
	for i := range s.Relays {
		r.follow(i)
	}
	if !r.all(func(h *hollow) bool { return h.items[ids.Configuration] > 0 && h.items[ids.List] > 0 }) {
		return nil, codes.New(codes.PeerLost, "relays without a snapshot")
	}
	out.Snapshot = per(bytesIn()-in0, s.Relays)
	out.Listed = r.fewestListed()
	out.SnapshotValues = r.snapshotValues()
	r.idle(out)
	if err := r.change(out); err != nil {
		return nil, err
	}
	if err := r.relist(out); err != nil {
		return nil, err
	}
	for _, k := range r.keepers {
		out.Memory = max(out.Memory, k.Memory())
	}
	return out, nil
}

func per(n float64, of int) float64 { return n / float64(max(1, of)) }

func until(fn func() bool) bool {
	for end := clock.Now().Add(settleMost); clock.Now() < end; clock.Sleep(5 * clock.Millisecond) {
		if fn() {
			return true
		}
	}
	return false
}

func bytesIn() float64 { return float64(telemetry.Counter("wire.bytes-in").Get()) }

func (r *run) read(a ids.Addr) *consensus.Report {
	rep, err := trace.Wire(a, ids.Configuration, clock.Second)
	if err != nil {
		return nil
	}
	return rep
}

func (r *run) listed() bool {
	for i := range r.size.Keepers {
		if rep := r.read(r.keeper(i)); rep == nil || rep.Feed < 2 || rep.Owners[ids.List].Zero() {
			return false
		}
	}
	return true
}

// sums adds up a counter of all keepers.
func (r *run) sums(names ...string) (out []float64) {
	out = make([]float64, len(names))
	for i := range r.size.Keepers {
		rep := r.read(r.keeper(i))
		if rep == nil {
			continue
		}
		for j, n := range names {
			out[j] += float64(rep.Counts[n])
		}
	}
	return
}

func (r *run) cpu() (d clock.Span) {
	for _, k := range r.keepers {
		d += k.CPU()
	}
	return d
}

func (r *run) idle(out *Report) {
	if r.size.Idle <= 0 {
		return
	}
	clock.Sleep(homeMost) // relays go over to keepers of their own zone
	names := []string{"wire.bytes-out", "wire.bytes-in", "wire.sent"}
	a, cpu, in, at := r.sums(names...), r.cpu(), bytesIn(), clock.Now()
	clock.Sleep(r.size.Idle)
	s := clock.Since(at).Seconds()
	out.RelayIdleIn = per(bytesIn()-in, r.size.Relays) / s
	out.IdleCPU = per((r.cpu()-cpu).Seconds(), r.size.Keepers) / s
	b := r.sums(names...)
	for i, f := range []*float64{&out.IdleOut, &out.IdleIn, &out.IdleSent} {
		*f = per(b[i]-a[i], r.size.Keepers) / s
	}
}

func (r *run) doc(version int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"route-table":[`, version)
	for i := range max(1, r.size.Routes) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%d","authority":"t%d.example","path-prefix":"/p%d/","route-class":"streaming","timeout-ms":%d,"target-ms":600,"priority":%d,"service":"pool","max-attempts":2,"session-affinity":true,"gap-target-ms":300}`, i, i%240, i, 10000+version, i%3)
	}
	b.WriteString(`],"service-table":[{"name":"pool","health-path":"/health","max-connections":690,"cold-start-s":3,"cold-per-s":20,"inference-engine":{"capacity-slots":24,"kv-capacity-tokens":437458,"step-size":9}}],"limits":{}}`)
	return b.Bytes()
}

func (r *run) replace(base, version int) error {
	last := 0
	if until(func() bool {
		var q fasthttp.Request
		var a fasthttp.Response
		q.SetRequestURI(fmt.Sprintf("http://%s/-/configuration/replace", r.control(0)))
		q.Header.SetMethod("POST")
		q.Header.Set("Base-Version", fmt.Sprint(base))
		q.SetBody(r.doc(version))
		if fasthttp.DoTimeout(&q, &a, 3*clock.Second) != nil {
			return false
		}
		last = a.StatusCode()
		return last == 200
	}) {
		return nil
	}
	return codes.New(codes.NoMajority, "version %d: status %d", version, last)
}

func (r *run) change(out *Report) error {
	n, in, cpu := r.items(ids.Configuration), bytesIn(), r.cpu()
	for i := range r.size.Changes {
		at := clock.Now()
		want := r.items(ids.Configuration) + float64(r.size.Relays)
		if err := r.replace(i+1, i+2); err != nil {
			return err
		}
		if !until(func() bool { return r.items(ids.Configuration) >= want }) {
			return codes.New(codes.PeerLost, "version %d is not everywhere", i+2)
		}
		out.ChangeMs = max(out.ChangeMs, float64(clock.Since(at))/float64(clock.Millisecond))
	}
	d := r.size.Relays * r.size.Changes
	out.ChangeItems, out.ChangeIn = per(r.items(ids.Configuration)-n, d), per(bytesIn()-in, d)
	out.ChangeCPU = (r.cpu() - cpu) / clock.Span(max(1, r.size.Changes*r.size.Keepers))
	return nil
}

func (r *run) relist(out *Report) error {
	n, in := r.items(ids.List), bytesIn()
	for i := range r.size.Changes {
		want := r.items(ids.List) + float64(r.size.Relays)
		rs := append([]discovery.Replica(nil), r.reps...)
		rs[i%len(rs)].ID = ids.Replica(fmt.Sprintf("i-new-%d", i))
		r.reps = rs
		r.plat.Set(rs...)
		if !until(func() bool { return r.items(ids.List) >= want }) {
			return codes.New(codes.PeerLost, "list %d is not everywhere", i)
		}
	}
	d := r.size.Relays * r.size.Changes
	out.ListItems, out.ListIn = per(r.items(ids.List)-n, d), per(bytesIn()-in, d)
	return nil
}

// Package sim plays days of the control side: the real keepers and feeds in a
// world of one seed, under faults, before judges.
package sim

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"net"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/control"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/feed"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rpc"
	"spoolswitch/internal/settings"
	"spoolswitch/internal/telemetry"
)

// Break is something that a judge found.
type Break struct {
	At    clock.Span
	Judge string
	Text  string
}

// Result is what came of a day.
type Result struct {
	Seed   uint64
	Point  int
	Broken []Break
	// Digest sums up the history.
	Digest  string
	Virtual clock.Span
	Steps   uint64
	Calls   int
	Acked   int
	Struck  int
	Chunks  int64
	Bytes   int64
	Threads int
}

type day struct {
	p     *Plan
	w     *concurrency.World
	net   *Net
	sum   hash.Hash
	Log   func(line string)
	res   *Result
	slots []*machine
	rest  []*relay
	seeds []int
	ops   *concurrency.Process
	opsAt *host
	ips   int

	hist    []*pursuit
	runs    map[int]*pursuit
	known   [operator]ids.Version
	acked   []ack
	under   int
	events  []clock.Span
	slow    []span
	judged  map[string]bool
	touched map[int][]clock.Span
	roster  consensus.Roster
	before  int64
	resting []*pursuit
}

type ack struct {
	at clock.Span
	v  ids.Version
}

// machine is what stands in one slot of the fleet.
type machine struct {
	slot  int
	ip    string
	zone  string
	disk  *Disk
	host  *host
	proc  *concurrency.Process
	d     *control.Daemon
	lives int
	born  clock.Span
	seeds []int
	gone  bool
	// stopping says that it was told to end.
	stopping bool
	// has is what its disk is known to hold, while it does not run.
	has holding
}

type relay struct {
	n     int
	host  *host
	proc  *concurrency.Process
	tail  *feed.Tail
	conf  ids.Version
	doc   *configuration.Doc
	evac  map[string]string
	place map[ids.Key]ids.Place
	born  clock.Span
}

// Play plays the plan; each line of the history goes to log, if it is set.
func Play(p *Plan, log func(line string)) *Result {
	d := &day{p: p, w: concurrency.NewWorld(p.Seed*2654435761 + uint64(p.Point)), sum: sha256.New(), Log: log,
		res: &Result{Seed: p.Seed, Point: p.Point}, runs: map[int]*pursuit{}, judged: map[string]bool{}, touched: map[int][]clock.Span{}}
	d.net = NewNet(d.w, d.say)
	d.net.Patient = p.Patient
	d.w.MostThreads, d.w.MostSteps = 4*threadsMost, stepsMost
	d.w.Died = func(q *concurrency.Process, v any, stack string) {
		judge := "alive"
		if strings.HasPrefix(fmt.Sprint(v), "too many") {
			judge = "bounded"
		}
		d.broke(judge, fmt.Sprintf("%s: %v\n%s", q.Name, v, stack))
	}
	defer telemetry.Use(func(what string, kv []any) { d.say(what, kv...) })()
	defer rpc.Use(d.net)()
	defer guards.Without(p.Without)()
	d.w.Run(d.play)
	d.judge()
	d.res.Digest = hex.EncodeToString(d.sum.Sum(nil))[:24]
	d.res.Steps, d.res.Virtual, d.res.Chunks, d.res.Bytes = d.w.Steps(), d.w.Time(), d.net.chunks, d.net.bytes
	return d.res
}

func (d *day) say(what string, kv ...any) {
	if d.w.Seen().Dead() {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%10.6f %s %s", float64(d.w.Time())/float64(clock.Second), d.w.Seen().Name, what)
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%v", kv[i], kv[i+1])
	}
	l := b.String()
	d.sum.Write([]byte(l))
	if d.Log != nil {
		d.Log(l)
	}
}

func (d *day) broke(judge, text string) {
	if d.judged[judge] {
		return
	}
	d.judged[judge] = true
	d.say("BROKEN", "judge", judge, "text", text)
	d.res.Broken = append(d.res.Broken, Break{d.w.Time(), judge, text})
}

func (d *day) play() {
	d.seeds = slices.Clone(d.p.Seeds)
	d.ops = d.w.Process("operators")
	d.opsAt = d.net.host("10.9.0.1")
	d.net.by[d.ops] = d.opsAt
	for i := range d.p.Core + d.p.Diskless {
		d.slots = append(d.slots, d.newMachine(i))
	}
	for i := range d.p.Relays {
		r := &relay{n: i, host: d.net.host(fmt.Sprintf("10.8.0.%d", i+1))}
		d.rest = append(d.rest, r)
	}
	for _, m := range d.slots {
		d.w.After(clock.Span(concurrency.Int64N(int64(300*clock.Millisecond))), func() { d.boot(m, true) })
	}
	for _, r := range d.rest {
		d.w.After(clock.Span(concurrency.Int64N(int64(300*clock.Millisecond))), func() { d.bootRelay(r) })
	}
	for _, f := range d.p.Faults {
		concurrency.Go(func() {
			clock.Sleep(f.At)
			d.strike(f)
		})
	}
	d.ops.Go(func() {
		clock.Sleep(clock.Second)
		d.first()
	})
	for _, o := range d.p.Orders {
		d.ops.Go(func() {
			clock.Sleep(o.At)
			d.order(o)
		})
	}
	concurrency.Go(func() {
		for {
			clock.Sleep(watchEach)
			d.watch()
		}
	})
	clock.Sleep(d.p.End + calmEnd)
	done := concurrency.NewMark()
	d.ops.Go(func() {
		d.atRest()
		done.Set()
	})
	done.Wait(clock.Minute)
}

func (d *day) newMachine(slot int) *machine {
	d.ips++
	m := &machine{slot: slot, ip: fmt.Sprintf("10.0.%d.%d", d.ips/200, d.ips%200+1), zone: zones[slot%len(zones)], seeds: slices.Clone(d.seeds), born: d.w.Time()}
	if slot < d.p.Core || slot >= d.p.Core+d.p.Diskless {
		m.disk = NewDisk(d.w)
		m.disk.Forgetful = concurrency.IntN(2) == 0
	}
	m.host = d.net.host(m.ip)
	return m
}

const (
	innerPort   = 7800
	controlPort = 7809
)

func (m *machine) inner() ids.Addr   { return ids.Addr(fmt.Sprintf("%s:%d", m.ip, innerPort)) }
func (m *machine) control() ids.Addr { return ids.Addr(fmt.Sprintf("%s:%d", m.ip, controlPort)) }

func (d *day) settings(m *machine, initial bool) *settings.Settings {
	s := &settings.Settings{Node: ids.Node(m.ip), IP: m.ip, Zone: ids.Zone(m.zone), Ports: []int{innerPort, innerPort + 8}, Initial: initial,
		Zones: map[string]string{}, Bindings: settings.Bindings{Control: string(m.control())},
		Limits:    settings.Limits{MemoryMB: 256, Descriptors: 4096},
		Bounds:    settings.Bounds{DrainMs: 3000, ConfigApplyMs: float64(apply / clock.Millisecond)},
		Tolerance: settings.Tolerance{Machines: d.p.Losses, Zones: 1},
	}
	if m.disk != nil {
		s.DataDir = "disk"
	}
	for _, z := range zones {
		s.Zones[z] = "region"
	}
	for _, i := range m.seeds {
		s.Seeds = append(s.Seeds, d.slots[i].control())
	}
	return s
}

func (d *day) boot(m *machine, initial bool) {
	if m.gone || m.proc != nil && !m.proc.Dead() {
		return
	}
	if initial {
		m.seeds = slices.Clone(d.seeds)
	}
	m.lives++
	m.stopping = false
	m.born = d.w.Time()
	p := d.w.Process(fmt.Sprintf("k%d.%d", m.slot, m.lives))
	p.PPM = concurrency.Int64N(401) - 200
	m.proc, m.d = p, nil
	d.net.by[p] = m.host
	s := d.settings(m, initial)
	on := control.Machine{List: d.list, Serve: d.serve}
	if m.disk != nil {
		on.Disk = m.disk
	}
	d.say("start", "slot", m.slot, "ip", m.ip, "life", m.lives, "disk", m.disk != nil, "seeds", s.Seeds)
	p.Go(func() {
		k, err := control.StartOn(s, on)
		if err != nil {
			d.broke("alive", "a keeper did not start: "+err.Error())
			return
		}
		if m.proc == p {
			m.d = k
		}
	})
}

func (d *day) list() ([]discovery.Replica, error) {
	clock.Sleep(clock.Span(concurrency.Int64N(int64(20 * clock.Millisecond))))
	return []discovery.Replica{{ID: "i-1", Service: "s", Addr: "10.7.0.1:80", Zone: "za", State: "in_service", Slots: 8}}, nil
}

// serve answers the calls of operators, one thread a connection.
func (d *day) serve(s *control.Server, l net.Listener) {
	concurrency.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			concurrency.Go(func() {
				defer c.Close()
				_ = c.SetDeadline(clock.Now().Add(10 * clock.Second).Deadline())
				var q fasthttp.Request
				if q.ReadLimitBody(bufio.NewReader(c), 16<<20) != nil {
					return
				}
				x := &fasthttp.RequestCtx{}
				x.Init2(c, quiet{}, true)
				q.CopyTo(&x.Request)
				s.Handle(x)
				w := bufio.NewWriter(c)
				if x.Response.Write(w) == nil {
					_ = w.Flush()
				}
			})
		}
	})
}

type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (d *day) bootRelay(r *relay) {
	p := d.w.Process(fmt.Sprintf("r%d", r.n))
	p.PPM = concurrency.Int64N(401) - 200
	r.proc, r.born, r.doc, r.conf, r.evac, r.place = p, d.w.Time(), nil, 0, map[string]string{}, map[ids.Key]ids.Place{}
	d.net.by[p] = r.host
	seeds := func() []ids.Addr {
		var out []ids.Addr
		for _, i := range d.seeds {
			out = append(out, d.slots[i].inner())
		}
		return out
	}
	r.tail = &feed.Tail{Self: ids.Node(p.Name), Addr: ids.Addr(r.host.ip + ":7801"), IP: r.host.ip, Zone: ids.Zone(zones[r.n%len(zones)]), Seeds: seeds, Apply: apply,
		Heard: func(int, clock.Span) {}, Take: func(it consensus.Item) bool { return d.took(r, p, it) }}
	p.Go(func() { r.tail.Run() })
}

// took takes in what a relay was fed; false if it is a change that does not lead
// on from what the relay has.
func (d *day) took(r *relay, p *concurrency.Process, it consensus.Item) bool {
	if r.proc != p || p.Dead() {
		return true
	}
	if at := r.place[it.Key]; !at.Less(it.At) {
		d.broke("feed", fmt.Sprintf("relay %d went back from %v to %v of %s", r.n, at, it.At, it.Key))
	}
	r.place[it.Key] = it.At
	if it.Key == ids.Configuration {
		doc, ok := configured(r.doc, it)
		if !ok {
			return false
		}
		if doc.Version < r.conf {
			d.broke("feed", fmt.Sprintf("relay %d went back from version %d to %d", r.n, r.conf, doc.Version))
		}
		r.doc, r.conf = doc, doc.Version
		d.say("in force", "relay", r.n, "version", doc.Version)
	}
	if z, ok := it.Key.Evacuated(); ok {
		r.evac[string(z)] = string(it.Val)
		d.say("in force", "relay", r.n, "evacuation", z, "is", string(it.Val))
	}
	return true
}

// configured is the configuration that an item brings to one who has doc.
func configured(doc *configuration.Doc, it consensus.Item) (*configuration.Doc, bool) {
	if it.Base.Zero() {
		doc = configuration.DocOf(it.Val)
		return doc, doc != nil
	}
	if doc == nil {
		return nil, false
	}
	return doc.ApplyDelta(it.Val)
}

// event says that the core is not settled for a while from now on.
func (d *day) event() { d.events = append(d.events, d.w.Time()) }

// settled tells whether the core was settled throughout the last span.
func (d *day) settled(t clock.Span, length clock.Span) bool {
	for _, e := range d.events {
		if e > t-length-contact && e <= t {
			return false
		}
	}
	for _, s := range d.slow {
		if s.from <= t && s.to+contact > t-length {
			return false
		}
	}
	return t-length > 6*clock.Second
}

// touch tells whether a relay had no trouble of its own for a while.
func (d *day) touch(r *relay, length clock.Span) bool {
	for _, t := range d.touched[r.n] {
		if t > d.w.Time()-length-contact {
			return false
		}
	}
	return r.proc != nil && !r.proc.Dead() && d.w.Time()-r.born > length+contact
}

func (d *day) pick(f Fault) []*machine {
	var out []*machine
	for _, i := range f.Nodes {
		if i < len(d.slots) {
			out = append(out, d.slots[i])
		}
	}
	return out
}

// others are the hosts that a cut parts from some keepers.
func (d *day) others(f Fault, of []*machine) []*host {
	var out []*host
	for _, m := range d.slots {
		if !slices.Contains(of, m) {
			out = append(out, m.host)
		}
	}
	if f.All {
		for _, r := range d.rest {
			out = append(out, r.host)
		}
		out = append(out, d.opsAt)
	}
	return out
}

func (d *day) cut(a, b []*host, way string, by int) {
	for _, x := range a {
		for _, y := range b {
			if way != "in" {
				d.net.Cut(x, y, by)
			}
			if way != "out" {
				d.net.Cut(y, x, by)
			}
		}
	}
}

func (d *day) kill(m *machine) {
	if m.proc == nil {
		return
	}
	d.holds(m)
	m.host.kill()
	m.proc.Kill()
	m.d = nil
}

func (d *day) power(m *machine) {
	if m.proc == nil {
		return
	}
	d.holds(m)
	if m.disk == nil {
		m.has = holding{}
	}
	m.host.off()
	m.proc.Kill()
	m.d = nil
	if m.disk != nil {
		m.disk.Off()
	}
}

func (d *day) twice() {
	// the bound is twice as long where most of the core was lost
	d.w.After(contact, d.event)
}

func (d *day) strike(f Fault) {
	d.res.Struck++
	d.say("fault", "kind", f.Kind, "nodes", f.Nodes, "for", f.For, "way", f.Way, "all", f.All, "call", f.Call, "n", f.N, "seeds", f.Seeds, "wiped", f.Wiped)
	ms := d.pick(f)
	if f.Kind == "kill-all" || f.Kind == "blackout" {
		ms = slices.Clone(d.slots)
	}
	if f.Kind != "seeds" && f.Kind != "relay-cut" {
		d.event()
	}
	switch f.Kind {
	case "cut", "cut-freeze":
		var a []*host
		for _, m := range ms {
			a = append(a, m.host)
		}
		b := d.others(f, ms)
		d.cut(a, b, f.Way, 1)
		if f.Kind == "cut-freeze" {
			clock.Sleep(f.For / 4)
			d.freeze(ms, true)
			clock.Sleep(f.For / 4)
			d.freeze(ms, false)
			clock.Sleep(f.For / 2)
		} else {
			clock.Sleep(f.For)
		}
		d.cut(a, b, f.Way, -1)
	case "freeze":
		d.freeze(ms, true)
		clock.Sleep(f.For)
		d.freeze(ms, false)
	case "slow-node":
		d.slow = append(d.slow, span{d.w.Time(), d.w.Time() + f.For, 0})
		for _, m := range ms {
			m.proc.Lag = 150 * clock.Millisecond
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			m.proc.Lag = 0
		}
	case "kill", "away":
		for _, m := range ms {
			d.kill(m)
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			d.boot(m, false)
		}
	case "restart":
		d.stop(ms)
		clock.Sleep(f.For)
		for _, m := range ms {
			d.kill(m)
			d.boot(m, false)
		}
	case "power", "wipe":
		for _, m := range ms {
			d.power(m)
			if f.Kind == "wipe" && m.disk != nil {
				m.disk.Wipe()
				m.has = holding{}
			}
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			m.host.on()
			d.boot(m, false)
		}
	case "replace":
		for _, m := range ms {
			d.power(m)
			m.gone, m.has = true, holding{}
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			d.succeed(m.slot)
		}
	case "leave":
		d.stop(ms)
		clock.Sleep(clock.Second)
		for _, m := range ms {
			d.kill(m)
			m.gone, m.has = true, holding{}
		}
		clock.Sleep(f.For)
		d.event()
		for _, m := range ms {
			d.succeed(m.slot)
		}
	case "kill-all":
		d.twice()
		for _, m := range ms {
			d.kill(m)
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			d.boot(m, false)
		}
		d.twice()
	case "blackout":
		d.twice()
		for _, m := range ms {
			d.power(m)
			if slices.Contains(f.Wiped, m.slot) && m.disk != nil {
				m.disk.Wipe()
				m.has = holding{}
			}
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			m.host.on()
			d.boot(m, false)
		}
		d.twice()
	case "seeds":
		d.seeds = slices.Clone(f.Seeds)
		for _, m := range ms {
			d.reseed(m)
		}
		d.w.After(seedLag, func() {
			for _, m := range d.slots {
				d.reseed(m)
			}
		})
		return
	case "reset":
		for _, m := range ms {
			m.host.reset()
		}
	case "relay-cut":
		r := d.rest[f.Nodes[0]%len(d.rest)]
		var b []*host
		for _, m := range d.slots {
			b = append(b, m.host)
		}
		d.touched[r.n] = append(d.touched[r.n], d.w.Time(), d.w.Time()+f.For)
		d.slow = append(d.slow, span{})
		d.cut([]*host{r.host}, b, f.Way, 1)
		for left := f.For; left > 0; left -= clock.Second {
			clock.Sleep(min(left, clock.Second))
			d.touched[r.n] = append(d.touched[r.n], d.w.Time())
		}
		d.cut([]*host{r.host}, b, f.Way, -1)
		return
	case "slow-disk", "stall-disk", "full-disk":
		d.slow = append(d.slow, span{d.w.Time(), d.w.Time() + f.For, 0})
		set := func(m *machine, on bool) {
			switch f.Kind {
			case "slow-disk":
				m.disk.Slow = 0
				if on {
					m.disk.Slow = 300 * clock.Millisecond
				}
			case "stall-disk":
				m.disk.Stalled = on
			default:
				m.disk.Full = on
			}
		}
		for _, m := range ms {
			set(m, true)
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			set(m, false)
		}
	case "refuse":
		d.slow = append(d.slow, span{d.w.Time(), d.w.Time() + f.For, 0})
		for _, m := range ms {
			m.disk.Refuse[f.Call] = f.N
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			delete(m.disk.Refuse, f.Call)
		}
	case "rewrite":
		for _, m := range ms {
			if f.Call != "" {
				m.disk.Refuse[f.Call] = f.N
			}
			if k := m.d; k != nil {
				m.proc.Go(func() { _ = k.Keeper.Acceptor().Rewrite() })
			}
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			if f.Call == "" {
				d.power(m)
			}
		}
		if f.Call == "" {
			clock.Sleep(clock.Second / 2)
		}
		for _, m := range ms {
			delete(m.disk.Refuse, f.Call)
			if f.Call == "" {
				m.host.on()
				d.boot(m, false)
			}
		}
	case "answers-lost":
		d.slow = append(d.slow, span{d.w.Time(), d.w.Time() + f.For, 0})
		d.opsAt.lost = f.Rate
		clock.Sleep(f.For)
		d.opsAt.lost = 0
	case "slow-link":
		d.slow = append(d.slow, span{d.w.Time(), d.w.Time() + f.For, 0})
		for _, m := range ms {
			m.host.slow = 200 * clock.Millisecond
		}
		clock.Sleep(f.For)
		for _, m := range ms {
			m.host.slow = 0
		}
	case "grow":
		m := d.newMachine(len(d.slots))
		d.slots = append(d.slots, m)
		d.boot(m, false)
		return
	}
	d.event()
	d.say("fault over", "kind", f.Kind, "nodes", f.Nodes)
}

func (d *day) freeze(ms []*machine, on bool) {
	d.event()
	for _, m := range ms {
		if m.proc.Dead() {
			continue
		}
		if on {
			m.proc.Freeze()
		} else {
			m.proc.Thaw()
		}
	}
}

func (d *day) stop(ms []*machine) {
	for _, m := range ms {
		d.holds(m)
		m.stopping = true
		if k := m.d; k != nil {
			m.proc.Go(k.Stop)
		}
	}
}

// succeed puts a new machine in place of one that is gone.
func (d *day) succeed(slot int) {
	d.slots[slot] = d.newMachine(slot)
	d.boot(d.slots[slot], false)
	for _, m := range d.slots {
		d.reseed(m)
	}
}

func (d *day) reseed(m *machine) {
	m.seeds = slices.Clone(d.seeds)
	if k := m.d; k != nil && !m.proc.Dead() {
		s := d.settings(m, false)
		m.proc.Go(func() { k.Take(s) })
	}
}

var _ disk.FS = (*Disk)(nil)

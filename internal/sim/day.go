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
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/control"
	"spoolswitch/internal/discovery"
	"spoolswitch/internal/disk"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/rollout"
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

	rollouts rollouts
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
		Bounds:    settings.Bounds{DrainMs: 3000, ConfigApplyMs: float64(apply / clock.Millisecond), AckMs: float64(ackBound / clock.Millisecond), GraceS: float64(grace / clock.Second)},
		Rollout:   settings.Rollout{Steps: rollout.DefaultSteps()},
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
	p.Quota = concurrency.Quota{Share: d.p.Quota, Step: quotaStep}
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
	if d.p.Point == rolloutPoint {
		return d.rollouts.listed(), nil
	}
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

var _ disk.FS = (*Disk)(nil)

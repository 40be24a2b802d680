package sim

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/configuration"
	"spoolswitch/internal/consensus"
	"spoolswitch/internal/ids"
)

// Judges names what a day is judged by.
func Judges() [][2]string {
	return [][2]string{
		{"linear", "all calls on a key, with their answers, could have been carried out one after the other"},
		{"twice", "no two changes on one base are both acknowledged"},
		{"refused", "an order that was acknowledged is never refused when it is sent again"},
		{"feed", "a relay's feed never goes back"},
		{"force", "what was acknowledged is in force at relays in touch in bound"},
		{"answers", "a settled core acknowledges a proper order in bound"},
		{"found", "relays find a keeper again in bound"},
		{"copies", "at rest every keeper with a seat has every standing value on its disk"},
		{"kept", "at each moment no majority of the seats could be without the newest acknowledged configuration"},
		{"seats", "at rest no change of seats is half done, and all go by one roster"},
		{"bounded", "threads, connections and messages stay bounded"},
		{"alive", "no keeper panics, stands still or does not start"},
		{"rollout", "an order's steps never go back, its verdict is one and stays, a bad version is not completed, and no acknowledged order is lost"},
		{"explored", "something was acknowledged and some trouble struck"},
	}
}

const (
	threadsMost = 1500
	stepsMost   = 4_000_000
	endsMost    = 4000
	lateFor     = 2 * clock.Second
	watchEach   = 200 * clock.Millisecond
	chunksMost  = 2000
)

// watch judges what may be judged while the day goes on.
func (d *day) watch() {
	now := d.w.Time()
	d.res.Threads = max(d.res.Threads, d.w.Threads())
	for _, m := range d.slots {
		if m.proc != nil && m.proc.Threads() > threadsMost {
			d.broke("bounded", fmt.Sprintf("keeper %d has %d threads", m.slot, m.proc.Threads()))
			d.w.Stop()
		}
	}
	if n := d.net.sent - d.before; n > chunksMost {
		d.broke("bounded", fmt.Sprintf("%d messages sent in %v", n, watchEach))
	}
	d.before = d.net.sent
	d.kept()
	if len(d.net.ends) > endsMost {
		d.broke("bounded", fmt.Sprint(len(d.net.ends), " ends of connections"))
	}
	for _, p := range d.hist {
		if p.ended == 0 && now-p.begun > ackBound && d.settled(now, ackBound) && p.o.Kind != "read" {
			d.broke("answers", fmt.Sprintf("order %d (%s %s) of %v has no answer", p.o.Num, p.o.Kind, p.o.Zone, p.begun))
		}
	}
	if !d.settled(now, apply) {
		return
	}
	var need ids.Version
	for _, a := range d.acked {
		if a.at < now-apply {
			need = max(need, a.v)
		}
	}
	for _, r := range d.rest {
		if d.touch(r, apply) && r.conf < need {
			d.broke("force", fmt.Sprintf("relay %d has version %d, %d was acknowledged %v ago or more", r.n, r.conf, need, apply))
		}
		if d.settled(now, recovery) && d.touch(r, recovery) && !d.fresh(r) {
			d.broke("found", fmt.Sprintf("relay %d hears of no keeper", r.n))
		}
	}
}

// holding is what the disk of a keeper is known to hold.
type holding struct {
	votes   bool
	at      ids.Place
	version ids.Version
}

// holds notes what the disk of a keeper that runs holds.
func (d *day) holds(m *machine) {
	if m.d == nil {
		return
	}
	a := m.d.Keeper.Acceptor()
	c := a.Cell(ids.Configuration)
	if r := a.Roster(); r.Num > d.roster.Num {
		d.roster = r
	}
	if !a.Ready() {
		return
	}
	m.has.votes = a.Voting() || m.has.votes && m.stopping
	if c.At == m.has.at {
		return
	}
	s, err := configuration.Decode(c.Val)
	if err != nil {
		d.broke("kept", err.Error())
		return
	}
	m.has.at, m.has.version = c.At, s.Version
}

func (d *day) kept() {
	for _, m := range d.slots {
		d.holds(m)
	}
	var need ids.Version
	for _, a := range d.acked {
		need = max(need, a.v)
	}
	without := func(n ids.Node) bool {
		for _, m := range d.slots {
			if ids.Node(m.inner()) == n {
				return m.has.votes && m.has.version < need
			}
		}
		return false
	}
	if need > 0 && d.roster.Majority(without) {
		d.broke("kept", fmt.Sprintf("version %d was acknowledged, and a majority of roster %d has it on no disk", need, d.roster.Num))
	}
}

func (d *day) fresh(r *relay) bool {
	ok := false
	r.proc.As(func() { ok = r.tail.Fresh(contact) })
	return ok
}

// atRest judges the end of the day.
func (d *day) atRest() {
	last := &pursuit{o: Order{Kind: "read", Num: -1}}
	d.send(last, ackBound)
	if last.got != acknowledged {
		d.broke("answers", "at rest the configuration cannot be read")
	}
	var roster consensus.Roster
	for _, m := range d.slots {
		if m.d == nil {
			continue
		}
		if r := m.d.Keeper.Acceptor().Roster(); r.Num > roster.Num {
			roster = r
		}
	}
	if len(roster.Next) > 0 {
		d.broke("seats", fmt.Sprintf("roster %d is half done: %v to %v", roster.Num, roster.Seat, roster.Next))
	}
	cells := map[ids.Key]consensus.Cell{}
	for _, m := range d.slots {
		if m.d == nil {
			continue
		}
		a := m.d.Keeper.Acceptor()
		if n := a.Roster().Num; n != roster.Num {
			d.broke("seats", fmt.Sprintf("keeper %d goes by roster %d, not %d", m.slot, n, roster.Num))
		}
		if !roster.Has(ids.Node(m.inner())) {
			continue
		}
		if !a.Voting() {
			d.broke("copies", fmt.Sprintf("keeper %d has a seat and does not vote", m.slot))
			continue
		}
		for key, c := range a.Cells() {
			if have := cells[key]; have.At.Less(c.At) {
				cells[key] = c
			}
		}
	}
	var keys []string
	for key := range cells {
		if key.Kept() && !key.Duty() && key != "floor" {
			keys = append(keys, string(key))
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		key := ids.Key(k)
		for _, m := range d.slots {
			if m.d == nil || !roster.Has(ids.Node(m.inner())) || !m.d.Keeper.Acceptor().Voting() {
				continue
			}
			c := m.d.Keeper.Acceptor().Cell(key)
			if c.At != cells[key].At && !bytes.Equal(c.Val, cells[key].Val) {
				d.broke("copies", fmt.Sprintf("keeper %d has %s of %v on its disk, %v stands", m.slot, key, c.At, cells[key].At))
			}
		}
	}
	for _, r := range d.rest {
		for _, z := range zones {
			if d.touch(r, apply) && d.settled(d.w.Time(), contact) {
				d.resting = append(d.resting, &pursuit{o: Order{Kind: "is", Zone: z}, who: r.evac[z], begun: d.w.Time() - apply, ended: d.w.Time()})
			}
		}
	}
	d.rollouts.atRest(d)
	d.say("at rest", "version", last.version, "mark", last.mark, "roster", roster.Num, "seats", len(roster.Seat))
}

// judge judges the whole history.
func (d *day) judge() {
	if d.res.Acked < 5 || len(d.p.Faults) > 0 && d.res.Struck == 0 {
		d.broke("explored", fmt.Sprintf("%d acknowledged, %d faults", d.res.Acked, d.res.Struck))
	}
	bases := map[ids.Version]*pursuit{}
	taken := map[string]clock.Span{}
	for _, p := range d.hist {
		if p.who == "" || p.got != acknowledged {
			continue
		}
		if q := bases[p.base]; q != nil && q.who != p.who {
			d.broke("twice", fmt.Sprintf("orders %d and %d are both acknowledged on %d", q.o.Num, p.o.Num, p.base))
		}
		bases[p.base] = p
		if at, ok := taken[p.who]; !ok || p.ended < at {
			taken[p.who] = p.ended
		}
		if p.o.Kind == "invalid" {
			d.broke("linear", fmt.Sprintf("order %d is invalid and was acknowledged", p.o.Num))
		}
	}
	for _, p := range d.hist {
		if at, ok := taken[p.who]; ok && p.who != "" && p.got == refused && p.begun > at {
			d.broke("refused", fmt.Sprintf("order %d was acknowledged at %v and refused with %d at %v", p.o.Num, at, p.status, p.ended))
		}
	}
	d.linearConf()
	for _, z := range zones {
		d.linearEvac(z)
	}
}

// confState is the base version, the mark of its order and the orders taken, in
// one line.
type confState struct {
	v     ids.Version
	mark  int
	taken string
}

func conform(s confState, p *pursuit) []any {
	if p.o.Kind == "read" {
		if p.got != acknowledged {
			return []any{s}
		}
		if p.version == s.v && p.mark == s.mark {
			return []any{s}
		}
		return nil
	}
	id := fmt.Sprintf("|%x", hashed(p.who))
	was := strings.Contains(s.taken, id)
	fits := p.o.Kind != "invalid" && s.v == p.base && p.version > s.v
	next := confState{p.version, p.mark, s.taken + id}
	switch p.got {
	case acknowledged:
		if was {
			return []any{s}
		}
		if fits {
			return []any{next}
		}
		return nil
	case refused:
		if was || fits {
			return nil
		}
		return []any{s}
	}
	if fits && !was {
		return []any{s, next}
	}
	return []any{s}
}

func hashed(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

func (d *day) linear(what string, ops []porcupine.Operation, m porcupine.NondeterministicModel) {
	if len(ops) == 0 {
		return
	}
	model := m.ToModel()
	switch porcupine.CheckOperationsTimeout(model, ops, 20*clock.Second) {
	case porcupine.Illegal:
		d.broke("linear", "the history of "+what+" cannot be put in an order")
	case porcupine.Unknown:
		d.broke("linear", "the history of "+what+" could not be judged in time")
	}
}

func (d *day) linearConf() {
	var ops []porcupine.Operation
	for i, p := range d.hist {
		if !p.o.configures() || p.o.Kind == "read" && p.got != acknowledged {
			continue
		}
		end := int64(p.ended)
		if p.got == unclear {
			end = math.MaxInt64 - 1
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: p, Call: int64(p.begun), Return: end})
	}
	d.linear("the configuration", ops, porcupine.NondeterministicModel{
		Init: func() []any { return []any{confState{}} },
		Step: func(s, in, _ any) []any { return conform(s.(confState), in.(*pursuit)) },
	})
}

func (d *day) linearEvac(zone string) {
	var ops []porcupine.Operation
	for i, p := range d.hist {
		if p.o.Zone != zone {
			continue
		}
		end := int64(p.ended)
		if p.got == unclear {
			// an order may not be carried out for long after its last call
			end = int64(max(p.ended, p.begun) + lateFor)
			if p.ended == 0 {
				end = math.MaxInt64 - 1
			}
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: p, Call: int64(p.begun), Return: end})
	}
	if len(ops) == 0 {
		return
	}
	for i, p := range d.resting {
		if p.o.Zone == zone {
			ops = append(ops, porcupine.Operation{ClientId: len(d.hist) + i, Input: p, Call: int64(p.begun), Return: int64(p.ended)})
		}
	}
	d.linear("the evacuation of "+zone, ops, porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(s, in, _ any) []any {
			p, is := in.(*pursuit), s.(string)
			switch {
			case p.o.Kind == "is":
				if p.who == is {
					return []any{is}
				}
				return nil
			case p.got == acknowledged:
				return []any{p.o.Kind}
			case p.got == refused:
				return []any{is}
			}
			return []any{is, p.o.Kind}
		},
	})
}

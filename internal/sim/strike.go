package sim

import (
	"slices"

	"spoolswitch/internal/clock"
)

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
		d.slow = append(d.slow, span{from: d.w.Time(), to: d.w.Time() + f.For})
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
	case serially:
		d.serially(ms, f.For)
	case succession:
		d.succession(ms, f.For)
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
		d.slow = append(d.slow, span{from: d.w.Time(), to: d.w.Time() + f.For})
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
		d.slow = append(d.slow, span{from: d.w.Time(), to: d.w.Time() + f.For})
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
		d.slow = append(d.slow, span{from: d.w.Time(), to: d.w.Time() + f.For})
		d.opsAt.lost = f.Rate
		clock.Sleep(f.For)
		d.opsAt.lost = 0
	case "slow-link":
		d.slow = append(d.slow, span{from: d.w.Time(), to: d.w.Time() + f.For})
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

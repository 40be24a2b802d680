package sim

import (
	"slices"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
)

func (d *day) stop(ms []*machine) {
	for _, m := range ms {
		d.holds(m)
		m.stopping = true
		if k := m.d; k != nil {
			m.proc.Go(k.Stop)
		}
	}
}

// succession starts a successor for each machine, and once those have had their time, has the old
// ones leave one after the other.
func (d *day) succession(ms []*machine, pause clock.Span) {
	var successors []*machine
	for _, m := range ms {
		successor := d.newMachine(m.slot)
		successors = append(successors, successor)
		d.boot(successor, false)
	}
	clock.Sleep(catchUp)
	left := concurrency.NewMark()
	for i, m := range ms {
		d.event()
		d.slots[m.slot] = successors[i]
		for _, other := range d.slots {
			d.reseed(other)
		}
		d.leave(m, left)
		clock.Sleep(pause)
	}
	for range ms {
		left.Wait(grace)
	}
}

// serially removes machines without a word: each a pause after the successor of the last one has had its
// time to catch up.
func (d *day) serially(ms []*machine, pause clock.Span) {
	for _, m := range ms {
		d.event()
		d.power(m)
		m.gone, m.has = true, holding{}
		clock.Sleep(clock.Span(concurrency.Int64N(int64(successorMost))))
		d.event()
		d.succeed(m.slot)
		clock.Sleep(catchUp + pause)
	}
}

// leave stops a machine for good: it has the grace period to end.
func (d *day) leave(m *machine, left *concurrency.Mark) {
	d.holds(m)
	m.stopping = true
	ended := concurrency.NewMark()
	if k := m.d; k != nil {
		m.proc.Go(func() {
			k.Stop()
			ended.Set()
		})
	}
	concurrency.Go(func() {
		ended.Wait(grace)
		d.kill(m)
		m.gone, m.has = true, holding{}
		d.event()
		left.Set()
	})
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

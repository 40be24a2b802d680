package consensus

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/codes"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/guards"
	"spoolswitch/internal/ids"
	"spoolswitch/internal/telemetry"
)

// Repair: a value that is known to stand is accepted at its place by each seat
// that has not got it on its disk, as though the owner's message had been late.
// A promise to a later epoch, or a raised floor, forbids that; if it lasts, the
// seat takes the value up in a ballot of its own, which brings it to all disks.

const mendAfter = 2 * clock.Second

// sight is what one seat had on its disk when it was last asked.
type sight struct {
	at    clock.Tick
	marks map[ids.Key]Mark
}

var mended = telemetry.Counter("keep.mended")

// repair starts the repair of what this keeper knows to stand and has not on its
// disk. It does not wait for the disk.
func (k *Keeper) repair(r Roster) {
	if !k.acc.Voting() || !r.Has(k.Self) || guards.Off(guards.Copies) {
		return
	}
	for key, at := range sorted(k.Sink.Known()) {
		k.mu.Lock()
		missing := key.Kept() && k.acc.Cell(key).At.Less(at) && !k.mending[key]
		if missing {
			k.mending[key] = true
		}
		k.mu.Unlock()
		if missing {
			concurrency.Go(func() {
				k.mend(key)
				k.mu.Lock()
				delete(k.mending, key)
				k.mu.Unlock()
			})
		}
	}
}

func (k *Keeper) mend(key ids.Key) {
	val, at := k.Sink.Value(key)
	a := k.acc.Accept(key, at, val, k.acc.Roster())
	k.mu.Lock()
	if a.OK || a.Code != codes.NoMajority {
		delete(k.barred, key)
		k.mu.Unlock()
		if a.OK {
			mended.Add(1)
		}
		return
	}
	d := k.barred[key]
	if d.at.Epoch != a.Epoch {
		d = doubt{ids.Place{Epoch: a.Epoch}, clock.Now()}
		k.barred[key] = d
	}
	k.mu.Unlock()
	if clock.Since(d.since) > mendAfter && concurrency.IntN(2) == 0 {
		telemetry.Trouble("value taken up for a disk that lacks it", "key", key, "at", at)
		k.Own(key, clock.Now().Add(clock.Second), func([]byte) ([]byte, Msg) { return nil, Msg{OK: true} })
	}
}

// see remembers what the disks of others have.
func (k *Keeper) see(got map[ids.Node]Msg) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, a := range got {
		if a.Code == codes.OK {
			k.sights[n] = sight{clock.Now(), a.Marks}
		}
	}
}

// Copies names the seats whose disks have the newest place of each key, as far
// as they were heard of lately.
func (k *Keeper) Copies() map[ids.Key][]ids.Node {
	seats := k.acc.Roster().All()
	k.mu.Lock()
	defer k.mu.Unlock()
	top := map[ids.Key]ids.Place{}
	out := map[ids.Key][]ids.Node{}
	for _, n := range seats {
		if s := k.sights[n]; s.at != 0 && clock.Since(s.at) < goneAfter {
			for key, m := range s.marks {
				for _, at := range []ids.Place{m.At, m.Known} {
					if key.Kept() && top[key].Less(at) {
						top[key], out[key] = at, nil
					}
				}
				if key.Kept() && m.At == top[key] {
					out[key] = append(out[key], n)
				}
			}
		}
	}
	return out
}

package keep

import (
	"spoolswitch/internal/clk"
	"spoolswitch/internal/note"
	"spoolswitch/internal/spawn"
	"spoolswitch/internal/word"
)

// Duty is something that one keeper does at a time. It is won by a ballot, and
// fenced by the ballot's epoch.
type Duty struct {
	Keeper *Keeper
	Key    word.Key
	Value  func(word.Key) ([]byte, word.Place)

	seen  word.Place
	since clk.Tick
	wait  clk.Span
}

const dutyWait = 350 * clk.Millisecond

// Mine tells whether this life of the keeper has the duty, and since which ballot.
func (d *Duty) Mine() (bool, word.Place) {
	val, at := d.Value(d.Key)
	k := d.Keeper
	return string(val) == string(k.Self) && at.Epoch.Node == k.Self && at.Epoch.Life == k.Life(), at
}

// Holder names the keeper that has the duty.
func (d *Duty) Holder() word.Node {
	val, _ := d.Value(d.Key)
	return word.Node(val)
}

// Vacant tells whether nobody has the duty, or one that is not alive. Each
// keeper waits a little of its own first.
func (d *Duty) Vacant(at word.Place, alive func(word.Node) bool) bool {
	if at != d.seen || d.since == 0 || alive(d.Holder()) {
		d.seen, d.since = at, clk.Now()
		d.wait = clk.Span(spawn.Int64N(int64(dutyWait)))
		return false
	}
	return clk.Since(d.since) >= d.wait
}

// Win holds a ballot for the duty.
func (d *Duty) Win() bool {
	k := d.Keeper
	a := k.Own(d.Key, clk.Now().Add(clk.Second), func(cur []byte) ([]byte, Msg) {
		if string(cur) == string(k.Self) {
			return nil, Msg{OK: true}
		}
		return []byte(k.Self), Msg{OK: true}
	})
	if a.OK {
		note.State("duty won", "duty", d.Key, "node", k.Self)
	}
	return a.OK
}

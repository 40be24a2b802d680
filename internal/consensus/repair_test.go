package consensus

import (
	"testing"

	"github.com/matryer/is"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/ids"
)

// copied waits for a key to be on so many disks; nothing is done meanwhile.
func (c *core) copied(key ids.Key, want int) bool {
	for range 2000 {
		if c.on(key, three.Seat...) == want {
			return true
		}
		clock.Sleep(clock.Millisecond)
	}
	return false
}

// What a seat missed is on its disk after two rounds of its own, of which the
// first may end with the first majority that answers: one that was cut
// off, and one whose disk refused while it heard of the change.
func TestMissedValueComesToDisk(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	is.True(c.copied(kk, 3))
	c.n.part("c", "a", "b")
	is.True(c.put("a", 1, "22").OK)
	is.True(c.copied(kk, 2))
	c.n.join()
	c.ks["c"].Round()
	c.ks["c"].Round()
	is.True(c.copied(kk, 3))
	c.st["c"].set(nil, true)
	is.True(c.put("a", 2, "333").OK)
	is.True(c.copied(kk, 2))
	c.ks["a"].Round()
	c.ks["a"].Round()
	is.Equal(c.ks["a"].Copies()[kk], []ids.Node{"a", "b"})
	c.ks["c"].Round() // still refused
	c.st["c"].set(nil, false)
	for try := 0; c.on(kk, "c") == 0; try++ {
		is.True(try < 200)
		c.ks["c"].Round()
	}
	clock.Sleep(10 * clock.Millisecond)
	c.ks["a"].Round()
	is.Equal(c.ks["a"].Copies()[kk], three.Seat)
	back := NewAcceptor() // it is on the disk
	for _, p := range c.st["c"].recs {
		back.Replay(p)
	}
	is.Equal(string(back.Cell(kk).Val), "333")
	for _, key := range []ids.Key{kk, ids.Roster} {
		_, ok := c.ks["a"].Copies()[key]
		is.Equal(ok, key == kk) // of keys that have values
	}
}

// A seat that promised a ballot that died takes no earlier value; it takes the
// value up itself after a while.
func TestBarredByPromise(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	is.True(c.copied(kk, 3))
	c.n.part("c", "a", "b")
	is.True(c.put("a", 1, "22").OK)
	k := c.ks["c"]
	is.True(k.Acceptor().Vote(kk, ids.Epoch{Round: 99, Node: "x", Life: 1}, three).OK)
	c.n.join()
	for try := 0; c.on(kk, three.Seat...) < 3; try++ {
		is.True(try < 500)
		k.Round()
		k.mu.Lock()
		if d, ok := k.barred[kk]; ok { // a while later
			d.since -= clock.Tick(mendAfter)
			k.barred[kk] = d
		}
		k.mu.Unlock()
		clock.Sleep(clock.Millisecond)
	}
	v, ok := c.get("a")
	is.True(ok)
	is.Equal(v, "22")
}

// A seat that is told of a place only takes its own disk's value, and nothing if
// it has another place there.
func TestToldOfPlace(t *testing.T) {
	is := is.New(t)
	c := newCore(t)
	is.True(c.put("a", 0, "1").OK)
	is.True(c.copied(kk, 3))
	k := c.ks["c"]
	at := k.Acceptor().Cell(kk).At
	for _, n := range three.Seat {
		for try := 0; ; try++ {
			is.True(try < 2000)
			if v, p := c.si[n].Value(kk); p == at {
				is.Equal(string(v), "1")
				break
			}
			c.ks[n].Round()
		}
	}
	later := at
	later.Seq++
	k.Handle(Msg{Kind: Learn, From: "a", Key: kk, At: later, Held: true})
	v, p := c.si["c"].Value(kk)
	is.Equal(string(v), "1")
	is.Equal(p, at)
}

package consensus

import (
	"spoolswitch/internal/clock"
	"spoolswitch/internal/concurrency"
	"spoolswitch/internal/deflate"
	"spoolswitch/internal/ids"
)

func (k *Keeper) askAllLater(to []ids.Node, m Msg) {
	for _, n := range to {
		concurrency.Go(func() { k.Net.Ask(n, m, askTimeout) })
	}
}

// learnFrom takes in what another keeper tells of a value; false if that is a
// change from a value that this one does not have.
func (k *Keeper) learnFrom(m Msg) bool {
	if !m.unpack() {
		return false
	}
	if m.Held {
		c := k.acc.Cell(m.Key)
		if c.At != m.At {
			return true
		}
		m.Val = c.Val
	}
	if !m.Base.Zero() {
		cur, at := k.Sink.Value(m.Key)
		if !at.Less(m.At) {
			return true
		}
		if at != m.Base || k.Patch == nil {
			return false
		}
		ok := false
		if m.Val, ok = k.Patch(m.Key, cur, m.Val); !ok {
			return false
		}
	}
	if _, at := k.Sink.Value(ids.List); m.Key == ids.List && at.Less(m.At) {
		k.mu.Lock()
		k.listAt = clock.Now()
		k.mu.Unlock()
	}
	k.learn(m.Key, m.At, m.Val)
	return true
}

// ListSeen says that a reading of the list was begun at a time.
func (k *Keeper) ListSeen(at clock.Tick) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listAt = max(k.listAt, at)
}

// ListAge is how long ago the list was last read, as far as is known here.
func (k *Keeper) ListAge() clock.Span {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listAt == 0 {
		return clock.Span(1<<62 - 1)
	}
	return clock.Since(k.listAt)
}

// Share tells the other keepers of a value that is not kept on disks: the change
// from the last one, and the whole to those that do not have that.
func (k *Keeper) Share(key ids.Key, at ids.Place, val []byte) {
	whole := Msg{Kind: Learn, From: k.Self, Key: key, At: at, Val: val}
	change := whole
	if old, base := k.Sink.Value(key); key.Shared() && !base.Zero() && k.Diff != nil {
		if d := k.Diff(key, old, val); d != nil {
			change.Base = base
			change.Val, change.Packed = deflate.Pack(d)
		}
	}
	k.learn(key, at, val)
	whole.Val, whole.Packed = deflate.Pack(whole.Val)
	if change.Base.Zero() {
		change = whole
	}
	for _, n := range k.peers() {
		concurrency.Go(func() {
			a, ok := k.Net.Ask(n, change, askTimeout)
			if ok && !a.OK && !change.Base.Zero() {
				k.Net.Ask(n, whole, askTimeout)
			}
		})
	}
}

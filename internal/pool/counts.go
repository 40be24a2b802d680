// Package pool keeps the balance between the replicas that serve long prompts
// and those that serve the rest. Relays count the lengths that pass through,
// keepers fold the counts, and the one that has the duty plans the pools.
package pool

import (
	"bytes"
	"encoding/gob"
	"math/bits"

	"spoolswitch/internal/codes"
	"spoolswitch/internal/ids"
)

// Buckets is how many classes of weight there are, each twice the one before.
const Buckets = 32

// Bucket counts the requests of one class of weight: how many, the prompt
// tokens that had to be read, and the output tokens seen.
type Bucket struct {
	N, Prompt, Out int64
}

// Work is what was asked of one service in a window.
type Work struct {
	Buckets [Buckets]Bucket
	// Read is time against prompt tokens, Write against output tokens.
	Read, Write Line
}

// Counts are what one relay, or several together, saw in a window.
type Counts struct {
	Services map[ids.Service]*Work
}

// BucketOf is the class of a weight.
func BucketOf(weight int64) int {
	return min(Buckets-1, bits.Len64(uint64(max(0, weight))))
}

// Floor is the least weight of a class.
func Floor(bucket int) int64 {
	if bucket <= 0 {
		return 0
	}
	return 1 << (bucket - 1)
}

func (c *Counts) work(s ids.Service) *Work {
	if c.Services == nil {
		c.Services = map[ids.Service]*Work{}
	}
	w := c.Services[s]
	if w == nil {
		w = &Work{}
		c.Services[s] = w
	}
	return w
}

// Add folds the counts of another in.
func (c *Counts) Add(o *Counts) {
	for s, w := range o.Services {
		m := c.work(s)
		for i, b := range w.Buckets {
			m.Buckets[i].N += b.N
			m.Buckets[i].Prompt += b.Prompt
			m.Buckets[i].Out += b.Out
		}
		m.Read.Add(w.Read)
		m.Write.Add(w.Write)
	}
}

// Encode is the counts as bytes.
func (c *Counts) Encode() []byte {
	var b bytes.Buffer
	if gob.NewEncoder(&b).Encode(c) != nil {
		return nil
	}
	return b.Bytes()
}

const countsMost = 256 << 10

// DecodeCounts reads and checks counts.
func DecodeCounts(b []byte) (*Counts, error) {
	c := &Counts{}
	if len(b) > countsMost {
		return nil, codes.New(codes.BadCounts, "%d bytes", len(b))
	}
	if err := gob.NewDecoder(bytes.NewReader(b)).Decode(c); err != nil {
		return nil, codes.New(codes.BadCounts, "%v", err)
	}
	for s, w := range c.Services {
		if s == "" || w == nil || !w.Read.good() || !w.Write.good() {
			return nil, codes.New(codes.BadCounts, "service %q", s)
		}
		for _, k := range w.Buckets {
			if k.N < 0 || k.Prompt < 0 || k.Out < 0 {
				return nil, codes.New(codes.BadCounts, "service %q: less than nothing", s)
			}
		}
	}
	return c, nil
}

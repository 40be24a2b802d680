// Package pick chooses the replica of a request: the session design.
package pick

import (
	"hash/fnv"
	"strconv"
	"strings"

	"spoolswitch/internal/code"
	"spoolswitch/internal/word"
)

// Link is one part of a prompt, named by all the parts up to it.
type Link struct {
	Hash   uint64
	Tokens int64
}

// Chain is the parts of a prompt in order.
type Chain []Link

// Tokens is the size of the whole chain.
func (c Chain) Tokens() int64 {
	var n int64
	for _, l := range c {
		n += l.Tokens
	}
	return n
}

// Last is the name of the whole chain.
func (c Chain) Last() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].Hash
}

const partsMost = 64

// ReadChain reads a Prompt-Prefix. Parts of different models never meet.
func ReadChain(model, prefix string) (Chain, error) {
	if prefix == "" {
		return nil, nil
	}
	h := fnv.New64a()
	h.Write([]byte(model))
	var out Chain
	for p := range strings.SplitSeq(prefix, ",") {
		id, num, ok := strings.Cut(strings.TrimSpace(p), ":")
		n, err := strconv.ParseInt(num, 10, 64)
		if !ok || err != nil || !hex(id) || n < 0 || len(out) >= partsMost {
			return nil, code.New(code.BadFields, "Prompt-Prefix: %.40q", p)
		}
		h.Write([]byte("," + id))
		out = append(out, Link{mix(h.Sum64()), n})
	}
	return out, nil
}

func hex(s string) bool {
	for _, c := range s {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return s != ""
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func rank(chain uint64, id word.Replica) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(chain ^ mix(h.Sum64()))
}

// ReadTokens reads Token-Counts: those of the prompt and the most sent out.
func ReadTokens(s string) (in, out int64, err error) {
	a, b, ok := strings.Cut(s, ",")
	in, e1 := strconv.ParseInt(strings.TrimSpace(a), 10, 64)
	out, e2 := strconv.ParseInt(strings.TrimSpace(b), 10, 64)
	if !ok || e1 != nil || e2 != nil || in < 0 || out < 0 {
		return 0, 0, code.New(code.BadFields, "Token-Counts: %.40q", s)
	}
	return in, out, nil
}

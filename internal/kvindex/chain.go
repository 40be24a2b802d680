package kvindex

import (
	"hash/fnv"
	"strconv"
	"strings"

	"spoolswitch/internal/codes"
)

// Block is one block of a prompt, named by all the blocks up to it.
type Block struct {
	Hash   uint64
	Tokens int64
}

// Chain is the blocks of a prompt in order. Here a block is a part of the
// prompt as its client names it.
type Chain []Block

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

// Extra is what names blocks beside their tokens, such as a model, an adapter
// or a salt. Blocks with other extras never meet, whatever their text.
type Extra struct{ Kind, Value string }

// Hashed names the blocks of a prompt by their ids and all that comes before.
func Hashed(extras []Extra, ids []string, tokens []int64) Chain {
	h := fnv.New64a()
	for _, x := range extras {
		h.Write([]byte(x.Kind + "=" + x.Value + ";"))
	}
	out := make(Chain, 0, len(ids))
	for i, id := range ids {
		h.Write([]byte("," + id))
		out = append(out, Block{Mix(h.Sum64()), tokens[i]})
	}
	return out
}

const partsMost = 64

// ReadChain reads a Prompt-Prefix. Parts of different models never meet.
func ReadChain(model, prefix string) (Chain, error) {
	if prefix == "" {
		return nil, nil
	}
	var ids []string
	var ns []int64
	for p := range strings.SplitSeq(prefix, ",") {
		id, num, ok := strings.Cut(strings.TrimSpace(p), ":")
		n, err := strconv.ParseInt(num, 10, 64)
		if !ok || err != nil || !hex(id) || n < 0 || len(ids) >= partsMost {
			return nil, codes.New(codes.BadFields, "Prompt-Prefix: %.40q", p)
		}
		ids, ns = append(ids, id), append(ns, n)
	}
	return Hashed([]Extra{{"model", model}}, ids, ns), nil
}

func hex(s string) bool {
	for _, c := range s {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return s != ""
}

// Mix spreads the bits of a hash.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

package consensus

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// sorted goes through a map in the order of its keys, so that what follows
// from it does not hang on the order of a map.
func sorted[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

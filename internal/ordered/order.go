// Package ordered iterates over maps in the order of their keys, so that the same state always results in the
// same decisions.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// ByKey returns an iterator over the entries of a map in the order of their keys. It skips entries that the
// loop's body deletes.
func ByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// Package ordered iterates over maps in the order of their keys, so that the same state always leads
// to the same decisions.
package ordered

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// ByKey goes through a map by its keys, so that the same state always leads
// to the same decisions.
func ByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

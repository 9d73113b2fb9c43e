package scheduler

import (
	"cmp"
	"slices"
)

// A report may contain an end that cannot be decoded. Polls acknowledge all ends
// up to a number, so neither that end nor a later one is acknowledged before it
// can be decoded: the worker keeps them. The later ones are applied nevertheless,
// once each.

// isNewEnd reports whether an end of that number is to be applied, and records
// that it is.
func (w *worker) isNewEnd(number int64) bool {
	if number <= w.appliedEnd || w.appliedBeyond[number] {
		return false
	}
	if w.withheld == 0 || number < w.withheld {
		w.appliedEnd = number
		return true
	}
	if w.appliedBeyond == nil {
		w.appliedBeyond = make(map[int64]bool)
	}
	w.appliedBeyond[number] = true
	return true
}

// insertEnd inserts an end into ends that are sorted by number.
func insertEnd[T any](ends []T, end T, number func(T) int64) []T {
	at, _ := slices.BinarySearchFunc(ends, end, func(a, b T) int { return cmp.Compare(number(a), number(b)) })
	return slices.Insert(ends, at, end)
}

// mayAcknowledge reports whether an end of that number may be acknowledged as
// far as the last report goes.
func (w *worker) mayAcknowledge(number int64) bool { return w.withheld == 0 || number < w.withheld }

// acknowledge records that ends up to a number may be acknowledged.
func (w *worker) acknowledge(number int64) {
	w.committedEnd = number
	w.appliedEnd = max(w.appliedEnd, number)
	for applied := range w.appliedBeyond {
		if applied <= number {
			delete(w.appliedBeyond, applied)
		}
	}
}

package blreconciler

// Reclaiming reports whether the upstream may still hold partitions that this node is to
// take back with one order for all. An answer without a fence is enough: it came after
// the upstream had stopped new work.
func (s State) Reclaiming() bool {
	return s.reclaim.due && !s.reclaim.taken
}

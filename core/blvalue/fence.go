package blvalue

import "fmt"

// Fence is a fencing token. It orders grants: of two grants the one with the
// higher fence was issued later.
type Fence struct {
	// Term is the lead's term, which increases with each takeover.
	Term uint64
	// Sequence increases with each change of a grant within the term.
	Sequence uint64
}

// Less reports whether f was issued before g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// String formats the fence as term.sequence.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Term, f.Sequence)
}

package blvalue

import "fmt"

// Fence orders grants: a higher fence was given later.
type Fence struct {
	// Term is the lead's term, which rises with each takeover.
	Term uint64
	// Sequence rises with each change of a grant within the term.
	Sequence uint64
}

// Less reports whether f was given before g.
func (f Fence) Less(g Fence) bool {
	if f.Term != g.Term {
		return f.Term < g.Term
	}
	return f.Sequence < g.Sequence
}

// String returns the fence as term.sequence.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d", f.Term, f.Sequence)
}

// Package blproof contains simulation tests across slices. They run the
// decisions of the lead, ownership, membership and grant duties of a few nodes
// against an in-memory store and inject faults. The package has no code outside
// of its tests.
package blproof

// Package blproof holds the tests that run the decisions of several slices
// together: the lead, ownership, membership and grant duties of a few nodes
// against a store in memory, under faults. It has no code of its own.
package blproof

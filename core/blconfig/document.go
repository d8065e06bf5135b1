// Package blconfig holds the configuration document of a deployment: its
// settings, the checks that refuse what can't be justified, and the
// explanation of each option.
package blconfig

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/bltable"
)

// Document is an immutable set of settings.
type Document struct {
	// settings are by path as text.
	settings bltable.Table[string, placedSetting]
}

// placedSetting is a setting and its path.
type placedSetting struct {
	Setting

	path Path
}

// Get returns the setting at path and whether the document has one.
func (d Document) Get(path Path) (Setting, bool) {
	placed, ok := d.settings.Get(path.String())
	return placed.Setting, ok
}

// With returns the document in which path has the given setting.
func (d Document) With(path Path, setting Setting) Document {
	d.settings = d.settings.With(path.String(), placedSetting{Setting: setting, path: path})
	return d
}

// Without returns the document without the setting at path.
func (d Document) Without(path Path) Document {
	d.settings = d.settings.Without(path.String())
	return d
}

// Paths returns the paths of all settings in order.
func (d Document) Paths() []Path {
	paths := make([]Path, 0, d.settings.Len())
	for _, placed := range d.settings.All() {
		paths = append(paths, placed.path)
	}
	return paths
}

// Entries returns the names of the entries of a section in order.
func (d Document) Entries(section string) []string {
	var entries []string
	for _, placed := range d.settings.All() {
		if placed.path.Section == section && placed.path.Entry != "" {
			entries = append(entries, placed.path.Entry)
		}
	}
	sort.Strings(entries)
	return slices.Compact(entries)
}

func (d Document) value(section, entry, option string) Value {
	setting, _ := d.Get(Path{Section: section, Entry: entry, Option: option})
	return setting.Value
}

// Change is one difference between two documents.
type Change struct {
	Path Path
	// Before is nil when the setting is new.
	Before *Setting
	// After is nil when the setting was removed.
	After *Setting
}

// Difference returns the changes that lead from before to after, in order.
func Difference(before, after Document) []Change {
	paths := append(before.Paths(), after.Paths()...)
	sort.Slice(paths, func(i, j int) bool { return paths[i].Less(paths[j]) })
	var changes []Change
	for _, path := range slices.Compact(paths) {
		old, hadOld := before.Get(path)
		current, hasNew := after.Get(path)
		if hadOld == hasNew && old.Value.Equal(current.Value) && old.Reason == current.Reason {
			continue
		}
		change := Change{Path: path}
		if hadOld {
			change.Before = &old
		}
		if hasNew {
			change.After = &current
		}
		changes = append(changes, change)
	}
	return changes
}

// Accepted is a document that the store holds, with the revision under which
// it does. Revisions only rise.
type Accepted struct {
	Revision uint64
	Document Document
	// Source is the text from which the document was read.
	Source string
	// Plan is the document in the form that decisions read.
	Plan Plan
	// GrantBound is the longest grant_ttl of this revision and the one before,
	// by which a lead may have given grants out that still run.
	GrantBound time.Duration
	// Digest is that of Source. Revisions of different readers may differ for
	// the same text.
	Digest uint64
}

// SameAs reports whether both are the same text.
func (a Accepted) SameAs(other Accepted) bool {
	return a.Source != "" && a.Digest == other.Digest
}

// WithRevision returns the accepted document as it stands at a later revision.
func (a Accepted) WithRevision(revision uint64) Accepted {
	a.Revision = max(a.Revision, revision)
	return a
}

// WithGrantBound returns the accepted document with another bound.
func (a Accepted) WithGrantBound(bound time.Duration) Accepted {
	a.GrantBound = max(bound, a.Plan.Timing.GrantTTL)
	return a
}

// Settle returns for how long grants of an earlier lead may be in use after
// its end.
func (a Accepted) Settle() time.Duration {
	return a.GrantBound + a.Plan.Timing.Margin
}

// NewAcceptedPlan returns the accepted form of a configuration that is no
// document of the project's own. Source is the text that others decode.
func NewAcceptedPlan(revision uint64, plan Plan, source string) Accepted {
	accepted := Accepted{Revision: revision, Plan: plan, Source: source, Digest: xxhash.Sum64String(source)}
	return accepted.WithGrantBound(0)
}

// NewAccepted returns the accepted form of document.
func NewAccepted(revision uint64, document Document, source string) Accepted {
	accepted := NewAcceptedPlan(revision, NewPlan(document), source)
	accepted.Document = document
	return accepted
}

// Package blconfig defines the configuration document of a deployment: its
// settings, their validation, which refuses values without a reason or outside
// their range, and the explanation of each option.
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
	// settings is keyed by the path in its text form.
	settings bltable.Table[string, settingEntry]
}

// settingEntry is a setting with its path.
type settingEntry struct {
	Setting

	path Path
}

// Get returns the setting at path and whether it exists.
func (d Document) Get(path Path) (Setting, bool) {
	entry, ok := d.settings.Get(path.String())
	return entry.Setting, ok
}

// With returns the document with the given setting at path.
func (d Document) With(path Path, setting Setting) Document {
	d.settings = d.settings.With(path.String(), settingEntry{Setting: setting, path: path})
	return d
}

// Without returns the document without the setting at path.
func (d Document) Without(path Path) Document {
	d.settings = d.settings.Without(path.String())
	return d
}

// Paths returns the paths of all settings, sorted.
func (d Document) Paths() []Path {
	paths := make([]Path, 0, d.settings.Len())
	for _, entry := range d.settings.All() {
		paths = append(paths, entry.path)
	}
	return paths
}

// Entries returns the names of the entries of a section, sorted.
func (d Document) Entries(section string) []string {
	var entries []string
	for _, entry := range d.settings.All() {
		if entry.path.Section == section && entry.path.Entry != "" {
			entries = append(entries, entry.path.Entry)
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

// Difference returns the changes from before to after, sorted by path.
func Difference(before, after Document) []Change {
	paths := append(before.Paths(), after.Paths()...)
	sort.Slice(paths, func(i, j int) bool { return paths[i].Less(paths[j]) })
	var changes []Change
	for _, path := range slices.Compact(paths) {
		old, hadBefore := before.Get(path)
		current, hasAfter := after.Get(path)
		if hadBefore == hasAfter && old.Value.Equal(current.Value) && old.Reason == current.Reason {
			continue
		}
		change := Change{Path: path}
		if hadBefore {
			change.Before = &old
		}
		if hasAfter {
			change.After = &current
		}
		changes = append(changes, change)
	}
	return changes
}

// Accepted is a configuration from the store with its revision. Revisions only
// increase.
type Accepted struct {
	Revision uint64
	// Version is the version that operators gave the configuration, or zero for one
	// without.
	Version uint64
	// StoredVersion is the version that the store holds. It is earlier than Version
	// after the store was restored from an older copy.
	StoredVersion uint64
	// Held is set while failure domains or roll-out orders are held that the store may not
	// list.
	Held     bool
	Document Document
	// Source is the text from which the configuration was decoded.
	Source string
	// Plan is the typed form of the configuration, which decisions read.
	Plan Plan
	// MaxGrantTTL is the longer grant_ttl of this revision and the previous one.
	// Grants issued by a lead under either may still be valid.
	MaxGrantTTL time.Duration
	// Digest is the hash of Source. It identifies the text, since different
	// readers may have different revisions of the same text.
	Digest uint64
	// Ignored holds the reasons why entries of the configuration were left out.
	Ignored []error
}

// WithIgnored returns the configuration with the reasons why entries of it were left
// out.
func (a Accepted) WithIgnored(ignored []error) Accepted {
	a.Ignored = ignored
	return a
}

// SameAs reports whether both have the same source text.
func (a Accepted) SameAs(other Accepted) bool {
	return a.Source != "" && a.Digest == other.Digest
}

// WithRevision returns the same configuration at a later revision. An earlier
// revision is ignored.
func (a Accepted) WithRevision(revision uint64) Accepted {
	a.Revision = max(a.Revision, revision)
	return a
}

// WithMaxGrantTTL returns the configuration with MaxGrantTTL set to ttl, or to
// its own grant_ttl if that is longer.
func (a Accepted) WithMaxGrantTTL(ttl time.Duration) Accepted {
	a.MaxGrantTTL = max(ttl, a.Plan.Timing.GrantTTL)
	return a
}

// MaxGrantLifetime returns how long grants issued by an earlier lead may remain
// in use after its term has ended. It includes the clock margin.
func (a Accepted) MaxGrantLifetime() time.Duration {
	return a.MaxGrantTTL + a.Plan.Timing.ClockMargin
}

// NewAcceptedPlan returns the accepted form of a configuration that isn't a
// Document. Source is the text from which other nodes decode it.
func NewAcceptedPlan(revision uint64, plan Plan, source string) Accepted {
	accepted := Accepted{Revision: revision, Plan: plan, Source: source, Digest: xxhash.Sum64String(source)}
	return accepted.WithMaxGrantTTL(0)
}

// NewAccepted returns the accepted form of a document.
func NewAccepted(revision uint64, document Document, source string) Accepted {
	accepted := NewAcceptedPlan(revision, NewPlan(document), source)
	accepted.Document = document
	return accepted
}

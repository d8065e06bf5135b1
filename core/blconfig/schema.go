package blconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The sections of a document.
const (
	SectionDeployment = "deployment"
	SectionServices   = "services"
	SectionAccounts   = "accounts"
	SectionRoutes     = "routes"
	SectionDomains    = "domains"
	SectionUpstreams  = "upstreams"
	SectionTiming     = "timing"
	SectionLimits     = "limits"
)

// Section describes one table of the document.
type Section struct {
	Name string
	// Named tells whether the section has entries with names of their own.
	Named bool
	// Required tells whether a document needs the section.
	Required    bool
	Explanation string
}

// Sections returns the sections in the order in which pages show them.
func Sections() []Section {
	return []Section{
		{SectionDeployment, false, true, "What this deployment is."},
		{SectionServices, true, true, "The services that exist and how each is divided by key."},
		{SectionAccounts, true, true, "The client accounts that may call, and what each may spend."},
		{SectionRoutes, true, true, "How requests of one method and path are treated. What no route names is refused."},
		{SectionDomains, true, true, "The failure domains and whether they take work."},
		{SectionUpstreams, true, false, "The upstreams that operators drain."},
		{SectionTiming, false, true, "The intervals of heartbeats, grants and leases."},
		{SectionLimits, false, true, "The bounds on requests, queues and extra work."},
	}
}

// Option describes one setting: what it acts on, its range, and what sets the
// range.
type Option struct {
	Section     string
	Name        string
	Kind        Kind
	Required    bool
	Explanation string
	// check returns the allowed range as text, what sets that range, and
	// whether the value is within it.
	check func(d Document, entry string, v Value) Range
}

// Range is the outcome of holding a value against its bound.
type Range struct {
	// Allowed is the range as text.
	Allowed string
	// SetBy says what sets the range.
	SetBy string
	// Holds tells whether the value is within the range.
	Holds bool
}

func integers(low, high int64, setBy string) func(Document, string, Value) Range {
	return func(_ Document, _ string, v Value) Range {
		return integerRange(v, low, high, setBy)
	}
}

func integerRange(v Value, low, high int64, setBy string) Range {
	return Range{
		Allowed: fmt.Sprintf("%d to %d", low, high),
		SetBy:   setBy,
		Holds:   v.Integer >= low && v.Integer <= high,
	}
}

func durations(low, high time.Duration, setBy string) func(Document, string, Value) Range {
	return func(_ Document, _ string, v Value) Range {
		return durationRange(v, low, high, setBy)
	}
}

func durationRange(v Value, low, high time.Duration, setBy string) Range {
	return Range{
		Allowed: fmt.Sprintf("%s to %s", low, high),
		SetBy:   setBy,
		Holds:   v.Duration >= low && v.Duration <= high,
	}
}

func choices(setBy string, allowed ...string) func(Document, string, Value) Range {
	return func(_ Document, _ string, v Value) Range {
		return Range{
			Allowed: "one of " + strings.Join(allowed, ", "), SetBy: setBy, Holds: slices.Contains(allowed, v.Text),
		}
	}
}

func anyBoolean(_ Document, _ string, _ Value) Range {
	return Range{Allowed: "true or false", SetBy: "its kind", Holds: true}
}

// LongestName is the greatest length of a name, in bytes.
const LongestName = 64

func names(_ Document, _ string, v Value) Range {
	return Range{
		Allowed: fmt.Sprintf("a name of 1 to %d characters a-z, 0-9, _", LongestName),
		SetBy:   "snake case in the project's own formats",
		Holds:   validName(v.Text),
	}
}

func validName(name string) bool {
	if name == "" || len(name) > LongestName {
		return false
	}
	for _, r := range name {
		lower := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !lower && !digit && r != '_' {
			return false
		}
	}
	return true
}

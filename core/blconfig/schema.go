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
	// Named is set if the section consists of named entries.
	Named bool
	// Required is set if the document must have the section.
	Required    bool
	Explanation string
}

// Sections returns all sections in display order.
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

// Option describes one setting: what it acts on, its allowed range, and what
// determines that range.
type Option struct {
	Section     string
	Name        string
	Kind        Kind
	Required    bool
	Explanation string
	// check checks a value of the entry against the allowed range.
	check func(d Document, entry string, v Value) RangeCheck
}

// RangeCheck is the result of checking a value against its allowed range.
type RangeCheck struct {
	// Allowed is the allowed range as text.
	Allowed string
	// SetBy says what determines the range.
	SetBy string
	// InRange is set if the value is within the range.
	InRange bool
}

func integersBetween(low, high int64, setBy string) func(Document, string, Value) RangeCheck {
	return func(_ Document, _ string, v Value) RangeCheck {
		return integerRange(v, low, high, setBy)
	}
}

func integerRange(v Value, low, high int64, setBy string) RangeCheck {
	return RangeCheck{
		Allowed: fmt.Sprintf("%d to %d", low, high),
		SetBy:   setBy,
		InRange: v.Integer >= low && v.Integer <= high,
	}
}

func durationsBetween(low, high time.Duration, setBy string) func(Document, string, Value) RangeCheck {
	return func(_ Document, _ string, v Value) RangeCheck {
		return durationRange(v, low, high, setBy)
	}
}

func durationRange(v Value, low, high time.Duration, setBy string) RangeCheck {
	return RangeCheck{
		Allowed: fmt.Sprintf("%s to %s", low, high),
		SetBy:   setBy,
		InRange: v.Duration >= low && v.Duration <= high,
	}
}

func oneOf(setBy string, allowed ...string) func(Document, string, Value) RangeCheck {
	return func(_ Document, _ string, v Value) RangeCheck {
		return RangeCheck{
			Allowed: "one of " + strings.Join(allowed, ", "), SetBy: setBy, InRange: slices.Contains(allowed, v.Text),
		}
	}
}

func anyBoolean(_ Document, _ string, _ Value) RangeCheck {
	return RangeCheck{Allowed: "true or false", SetBy: "its kind", InRange: true}
}

// MaxNameLength is the maximum length of a name in bytes.
const MaxNameLength = 64

func nameRange(_ Document, _ string, v Value) RangeCheck {
	return RangeCheck{
		Allowed: fmt.Sprintf("a name of 1 to %d characters a-z, 0-9, _", MaxNameLength),
		SetBy:   "snake case in the project's own formats",
		InRange: validName(v.Text),
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
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

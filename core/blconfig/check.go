package blconfig

import (
	"fmt"
	"strings"
)

// Violation is one validation error of a document.
type Violation struct {
	// Field is the path of the setting or section.
	Field string
	// Description describes the error.
	Description string
	// Allowed is the allowed range, if the value is outside it.
	Allowed string
	// SetBy says what determines the range.
	SetBy string
}

// String returns the violation as a single line.
func (v Violation) String() string {
	text := v.Field + ": " + v.Description
	if v.Allowed != "" {
		text += "; allowed: " + v.Allowed + " (set by " + v.SetBy + ")"
	}
	return text
}

// ValidationError reports all violations of a document.
type ValidationError struct {
	Violations []Violation
}

// Error returns the violations, one per line.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, violation := range e.Violations {
		lines = append(lines, violation.String())
	}
	return fmt.Sprintf("document has %d faults:\n%s", len(lines), strings.Join(lines, "\n"))
}

// minReasonLength is the minimum length of a reason in bytes. A shorter one
// explains nothing.
const minReasonLength = 12

// Check validates the document and returns all its violations.
func Check(d Document) []Violation {
	var violations []Violation
	violations = append(violations, checkMissing(d)...)
	reasons := map[string]Path{}
	for _, path := range d.Paths() {
		setting, _ := d.Get(path)
		violations = append(violations, checkReason(path, setting, reasons)...)
		violations = append(violations, checkRange(d, path, setting)...)
	}
	return append(violations, checkDigests(d)...)
}

// FindOption returns the option of the setting at path and whether it exists.
func FindOption(path Path) (Option, bool) {
	for _, option := range Options() {
		if option.Section == path.Section && option.Name == path.Option {
			return option, true
		}
	}
	return Option{}, false
}

func checkMissing(d Document) []Violation {
	var violations []Violation
	for _, section := range Sections() {
		entries := []string{""}
		if section.Named {
			entries = d.Entries(section.Name)
		}
		if section.Required && len(entries) == 0 {
			violations = append(violations, Violation{Field: section.Name, Description: "the section has no entry"})
		}
		for _, entry := range entries {
			violations = append(violations, checkEntry(d, section, entry)...)
		}
	}
	return violations
}

func checkEntry(d Document, section Section, entry string) []Violation {
	var violations []Violation
	if section.Named && !validName(entry) {
		violations = append(violations, Violation{
			Field: section.Name + "." + entry, Description: "the name is not in snake case",
			Allowed: fmt.Sprintf("1 to %d characters a-z, 0-9, _", MaxNameLength), SetBy: "the project's own formats",
		})
	}
	for _, option := range Options() {
		if option.Section != section.Name {
			continue
		}
		path := Path{Section: section.Name, Entry: entry, Option: option.Name}
		if _, ok := d.Get(path); !ok && isRequired(d, option, entry) {
			violations = append(violations, Violation{Field: path.String(), Description: "the setting is missing"})
		}
	}
	return violations
}

func isRequired(d Document, option Option, entry string) bool {
	if option.Section == SectionServices && option.Name == "partitions" {
		return newService(d, entry).Kind == ServiceExclusive
	}
	return option.Required
}

func checkReason(path Path, setting Setting, seen map[string]Path) []Violation {
	reason := strings.ToLower(strings.Join(strings.Fields(setting.Reason), " "))
	if reason == "" {
		return []Violation{{Field: path.String(), Description: "the reason is missing"}}
	}
	if len(reason) < minReasonLength {
		return []Violation{{Field: path.String(), Description: "the reason is too short to explain the value"}}
	}
	if first, ok := seen[reason]; ok {
		return []Violation{{Field: path.String(), Description: "the reason is copied from " + first.String()}}
	}
	seen[reason] = path
	return nil
}

func checkRange(d Document, path Path, setting Setting) []Violation {
	option, ok := FindOption(path)
	if !ok {
		return []Violation{{Field: path.String(), Description: "no such option"}}
	}
	if setting.Value.Kind != option.Kind {
		return []Violation{{Field: path.String(), Description: fmt.Sprintf("the value is %s, want %s", setting.Value.Kind, option.Kind)}}
	}
	result := option.check(d, path.Entry, setting.Value)
	if result.InRange {
		return nil
	}
	return []Violation{{
		Field: path.String(), Description: fmt.Sprintf("value %q is outside its range", setting.Value), Allowed: result.Allowed, SetBy: result.SetBy,
	}}
}

func checkDigests(d Document) []Violation {
	var violations []Violation
	seen := map[string]string{}
	for _, name := range d.Entries(SectionAccounts) {
		for _, digest := range newAccount(d, name).KeyDigests {
			if first, ok := seen[digest]; ok {
				violations = append(violations, Violation{
					Field:       Path{Section: SectionAccounts, Entry: name, Option: "key_digests"}.String(),
					Description: "a client key stands twice, first under " + first,
				})
			}
			seen[digest] = name
		}
	}
	return violations
}

// Explanation describes a setting to operators.
type Explanation struct {
	Path    Path
	Value   string
	Reason  string
	Allowed string
	SetBy   string
	ActsOn  string
}

// Explain returns the explanations of all settings, in the order of their paths.
func Explain(d Document) []Explanation {
	var explanations []Explanation
	for _, path := range d.Paths() {
		setting, _ := d.Get(path)
		option, ok := FindOption(path)
		if !ok {
			continue
		}
		result := option.check(d, path.Entry, setting.Value)
		explanations = append(explanations, Explanation{
			Path: path, Value: setting.Value.String(), Reason: setting.Reason,
			Allowed: result.Allowed, SetBy: result.SetBy, ActsOn: option.Explanation,
		})
	}
	return explanations
}

// CheckChange returns a violation for each change that is not allowed between
// two documents. The number of partitions determines which upstream owns a key,
// so changing it would temporarily give a key two owners.
func CheckChange(before, after Document) []Violation {
	var violations []Violation
	for _, name := range before.Entries(SectionServices) {
		path := Path{Section: SectionServices, Entry: name, Option: "partitions"}
		old, had := before.Get(path)
		current, has := after.Get(path)
		if had && has && !old.Value.Equal(current.Value) {
			violations = append(violations, Violation{
				Field: path.String(), Description: "the number of partitions can't be changed while the service exists",
				Allowed: old.Value.String(), SetBy: "the owners of the service's keys",
			})
		}
	}
	return violations
}

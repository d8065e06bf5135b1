package blconfig

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is the type of a setting's value.
type Kind string

// The kinds of values.
const (
	KindInteger  Kind = "integer"
	KindDuration Kind = "duration"
	KindText     Kind = "text"
	KindBoolean  Kind = "boolean"
	KindList     Kind = "list of text"
)

// Value is the immutable value of one setting. Only the field that corresponds to
// Kind is set.
type Value struct {
	Kind     Kind
	Integer  int64
	Duration time.Duration
	Text     string
	Boolean  bool
	List     []string
}

// String returns the value in the notation of the document, without quotes. The
// items of a list are separated by commas.
func (v Value) String() string {
	switch v.Kind {
	case KindInteger:
		return strconv.FormatInt(v.Integer, 10)
	case KindDuration:
		return v.Duration.String()
	case KindBoolean:
		return strconv.FormatBool(v.Boolean)
	case KindList:
		return strings.Join(v.List, ", ")
	case KindText:
		return v.Text
	}
	return ""
}

// Equal reports whether both values have the same kind and text form.
func (v Value) Equal(other Value) bool {
	return v.Kind == other.Kind && v.String() == other.String()
}

// ParseValue parses text as a value of the given kind. The items of a list are
// separated by commas.
func ParseValue(kind Kind, text string) (Value, error) {
	value := Value{Kind: kind}
	var err error
	switch kind {
	case KindInteger:
		value.Integer, err = strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	case KindDuration:
		value.Duration, err = time.ParseDuration(strings.TrimSpace(text))
	case KindBoolean:
		value.Boolean, err = strconv.ParseBool(strings.TrimSpace(text))
	case KindList:
		value.List = splitList(text)
	case KindText:
		value.Text = text
	}
	if err != nil {
		return value, fmt.Errorf("read %q as %s: %w", text, kind, err)
	}
	return value, nil
}

func splitList(text string) []string {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// Path identifies one setting: its section, its entry if the section has named
// entries, and its option.
type Path struct {
	Section string
	Entry   string
	Option  string
}

// String returns the path separated by dots, like the name of the setting's
// table in the document.
func (p Path) String() string {
	if p.Entry == "" {
		return p.Section + "." + p.Option
	}
	return p.Section + "." + p.Entry + "." + p.Option
}

// Less orders paths by their text form: section, entry and option.
func (p Path) Less(other Path) bool {
	return p.String() < other.String()
}

// Setting is a value with the operator's reason for it.
type Setting struct {
	Value  Value
	Reason string
}

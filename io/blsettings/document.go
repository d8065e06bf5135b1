// Package blsettings reads and writes TOML: the configuration document of a
// deployment and the settings of one process.
package blsettings

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bergamotlead/core/blconfig"
)

// MaxDocumentBytes is the maximum size of a configuration document, in bytes.
const MaxDocumentBytes = 1 << 20

const (
	valueKey  = "value"
	reasonKey = "reason"
)

// SizeError reports a document that is too large.
type SizeError struct {
	Size int
}

// Error implements error.
func (e SizeError) Error() string {
	return fmt.Sprintf("document has %d bytes, allowed are %d", e.Size, MaxDocumentBytes)
}

// ParseDocument parses and validates a configuration document. It reports all
// violations at once in a blconfig.ValidationError, or the position of the first
// syntax error when the text is not TOML.
func ParseDocument(text []byte) (blconfig.Document, error) {
	document, violations, err := readDocument(text)
	if err != nil {
		return blconfig.Document{}, err
	}
	violations = append(violations, blconfig.Check(document)...)
	if len(violations) > 0 {
		return document, fmt.Errorf("check document: %w", blconfig.ValidationError{Violations: violations})
	}
	return document, nil
}

func readDocument(text []byte) (blconfig.Document, []blconfig.Violation, error) {
	if len(text) > MaxDocumentBytes {
		return blconfig.Document{}, nil, SizeError{Size: len(text)}
	}
	var tables map[string]any
	if err := toml.Unmarshal(text, &tables); err != nil {
		return blconfig.Document{}, nil, fmt.Errorf("read document: %w", withPosition(err))
	}
	reader := documentReader{}
	for name, table := range tables {
		reader.readSection(name, table)
	}
	return reader.document, reader.violations, nil
}

// withPosition adds the line and column to an error of the TOML decoder.
func withPosition(err error) error {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return err
	}
	line, column := decode.Position()
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

type documentReader struct {
	document   blconfig.Document
	violations []blconfig.Violation
}

func (r *documentReader) addViolation(field, description string) {
	r.violations = append(r.violations, blconfig.Violation{Field: field, Description: description})
}

func (r *documentReader) readSection(name string, table any) {
	for _, section := range blconfig.Sections() {
		if section.Name != name {
			continue
		}
		r.readKnownSection(section, table)
		return
	}
	r.addViolation(name, "no such section")
}

func (r *documentReader) readKnownSection(section blconfig.Section, table any) {
	entries, ok := table.(map[string]any)
	if !ok {
		r.addViolation(section.Name, "want a table")
		return
	}
	if !section.Named {
		r.readEntry(section.Name, "", entries)
		return
	}
	for name, entry := range entries {
		options, ok := entry.(map[string]any)
		if !ok {
			r.addViolation(section.Name+"."+name, "want a table")
			continue
		}
		r.readEntry(section.Name, name, options)
	}
}

func (r *documentReader) readEntry(section, entry string, options map[string]any) {
	for name, raw := range options {
		path := blconfig.Path{Section: section, Entry: entry, Option: name}
		option, ok := blconfig.FindOption(path)
		if !ok {
			r.addViolation(path.String(), "no such option")
			continue
		}
		r.readSetting(path, option, raw)
	}
}

func (r *documentReader) readSetting(path blconfig.Path, option blconfig.Option, raw any) {
	fields, ok := raw.(map[string]any)
	if !ok {
		r.addViolation(path.String(), "want a table with value and reason")
		return
	}
	for name := range fields {
		if name != valueKey && name != reasonKey {
			r.addViolation(path.String()+"."+name, "no such name; want value and reason")
		}
	}
	reason, _ := fields[reasonKey].(string)
	value, err := convertValue(option.Kind, fields[valueKey])
	if err != nil {
		r.addViolation(path.String(), err.Error())
	}
	r.document = r.document.With(path, blconfig.Setting{Value: value, Reason: reason})
}

// KindError reports a value whose kind is not that of its option.
type KindError struct {
	Got  any
	Want blconfig.Kind
}

// Error implements error.
func (e KindError) Error() string {
	if e.Got == nil {
		return fmt.Sprintf("the value is missing, want %s", e.Want)
	}
	return fmt.Sprintf("the value %v is not %s", e.Got, e.Want)
}

func convertValue(kind blconfig.Kind, raw any) (blconfig.Value, error) {
	value := blconfig.Value{Kind: kind}
	ok := false
	switch kind {
	case blconfig.KindInteger:
		value.Integer, ok = raw.(int64)
	case blconfig.KindText:
		value.Text, ok = raw.(string)
	case blconfig.KindBoolean:
		value.Boolean, ok = raw.(bool)
	case blconfig.KindDuration:
		value.Duration, ok = convertDuration(raw)
	case blconfig.KindList:
		value.List, ok = convertList(raw)
	}
	if !ok {
		return value, KindError{Got: raw, Want: kind}
	}
	return value, nil
}

func convertDuration(raw any) (time.Duration, bool) {
	text, ok := raw.(string)
	if !ok {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil
}

func convertList(raw any) ([]string, bool) {
	items, ok := raw.([]any)
	if !ok {
		return nil, false
	}
	list := make([]string, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			return nil, false
		}
		list = append(list, text)
	}
	return list, true
}

// FormatDocument encodes a document as TOML, from which ParseDocument returns the
// same document.
func FormatDocument(document blconfig.Document) ([]byte, error) {
	tables := map[string]map[string]any{}
	for _, path := range document.Paths() {
		setting, _ := document.Get(path)
		section := tables[path.Section]
		if section == nil {
			section = map[string]any{}
			tables[path.Section] = section
		}
		options := section
		if path.Entry != "" {
			if section[path.Entry] == nil {
				section[path.Entry] = map[string]any{}
			}
			options, _ = section[path.Entry].(map[string]any)
		}
		options[path.Option] = map[string]any{valueKey: rawValue(setting.Value), reasonKey: setting.Reason}
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(tables); err != nil {
		return nil, fmt.Errorf("write document: %w", err)
	}
	return text.Bytes(), nil
}

func rawValue(value blconfig.Value) any {
	switch value.Kind {
	case blconfig.KindInteger:
		return value.Integer
	case blconfig.KindBoolean:
		return value.Boolean
	case blconfig.KindList:
		if value.List == nil {
			return []string{}
		}
		return value.List
	case blconfig.KindDuration, blconfig.KindText:
	}
	return value.String()
}

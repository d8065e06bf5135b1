package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const maxLineBytes = 1 << 20

// requestCommand merges the log lines of all nodes about one request by time.
type requestCommand struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" help:"Logs of the nodes." type:"existingfile"`
}

// Run prints the lines about the request, and the state that the nodes logged
// before it.
func (c requestCommand) Run(_ *client) error {
	var lines []logLine
	for _, name := range c.Files {
		file, err := os.Open(name) //nolint:gosec // the operator names the file
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		found, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
		lines = append(lines, found...)
	}
	timeline := requestTimeline(c.ID, lines)
	if len(timeline) == 0 {
		return noLinesError{ID: c.ID}
	}
	table := newTable()
	for _, line := range timeline {
		table.printf("%s\t%s\t%s\t%s\n", line.At, line.Host, line.Message, line.fields())
	}
	return table.flush()
}

// noLinesError reports a request that appears in no log.
type noLinesError struct {
	ID string
}

// Error implements error.
func (e noLinesError) Error() string {
	return "no line names request " + e.ID + "; its lines may have been left out, see the counts left_out"
}

// logLine is one line of a node's log.
type logLine struct {
	At        string `json:"@timestamp"`
	Message   string `json:"@message"`
	Host      string `json:"host"`
	RequestID string `json:"request_id"`
	// Fields holds all fields of the line.
	Fields map[string]any `json:"-"`
}

// fields returns the fields other than time, level, host, message and request id,
// sorted by name.
func (l logLine) fields() string {
	var parts []string
	for name, value := range l.Fields {
		if !strings.HasPrefix(name, "@") && name != "host" && name != "request_id" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// readLog reads the lines that are JSON and skips all others.
func readLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) != nil || json.Unmarshal(scanner.Bytes(), &line.Fields) != nil {
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("scan log: %w", err)
	}
	return lines, nil
}

// requestTimeline returns the lines about a request in order of time, preceded by
// the latest state that each of its nodes logged before the first of them.
func requestTimeline(id string, lines []logLine) []logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
	var timeline []logLine
	hosts := map[string]bool{}
	first := -1
	for i, line := range lines {
		if line.RequestID != id {
			continue
		}
		if first < 0 {
			first = i
		}
		hosts[line.Host] = true
		timeline = append(timeline, line)
	}
	if first < 0 {
		return nil
	}
	return append(stateBefore(lines[:first], hosts), timeline...)
}

// stateBefore returns, for each of the hosts, the latest line of each message
// that is not about a request.
func stateBefore(lines []logLine, hosts map[string]bool) []logLine {
	seen := map[string]bool{}
	var latest []logLine
	for i := len(lines) - 1; i >= 0; i-- {
		line := lines[i]
		key := line.Host + " " + line.Message
		if line.RequestID != "" || !hosts[line.Host] || seen[key] {
			continue
		}
		seen[key] = true
		latest = append([]logLine{line}, latest...)
	}
	return latest
}

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

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

// requestCommand puts what all nodes wrote about one request in order.
type requestCommand struct {
	ID    string   `arg:"" help:"The request's id."`
	Files []string `arg:"" help:"Logs of the nodes." type:"existingfile"`
}

// Run writes the lines about the request, and what nodes believed before.
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
	story := requestStory(c.ID, lines)
	if len(story) == 0 {
		return noLinesError{ID: c.ID}
	}
	table := newTable()
	for _, line := range story {
		table.printf("%s\t%s\t%s\t%s\n", line.At, line.Host, line.Message, line.fields())
	}
	return table.flush()
}

// noLinesError reports a request that no log names.
type noLinesError struct {
	ID string
}

// Error returns the fault as text.
func (e noLinesError) Error() string {
	return "no line names request " + e.ID + "; its lines may have been left out, see the counts left_out"
}

// logLine is one line of a node's log.
type logLine struct {
	At        string `json:"@timestamp"`
	Message   string `json:"@message"`
	Host      string `json:"host"`
	RequestID string `json:"request_id"`
	// Fields holds everything that the line says.
	Fields map[string]any `json:"-"`
}

// fields returns what the line says beside its time, host and message.
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

// readLog reads the lines that are JSON and passes over all others.
func readLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, longestLine)
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

// requestStory returns the lines about a request in order, each node's latest
// beliefs before the first of them included.
func requestStory(id string, lines []logLine) []logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At < lines[j].At })
	var story []logLine
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
		story = append(story, line)
	}
	if first < 0 {
		return nil
	}
	return append(beliefsBefore(lines[:first], hosts), story...)
}

// beliefsBefore returns the latest line of each kind that each of the hosts
// wrote about itself rather than about a request.
func beliefsBefore(lines []logLine, hosts map[string]bool) []logLine {
	seen := map[string]bool{}
	var latest []logLine
	for i := len(lines) - 1; i >= 0; i-- {
		line := lines[i]
		kind := line.Host + " " + line.Message
		if line.RequestID != "" || !hosts[line.Host] || seen[kind] {
			continue
		}
		seen[kind] = true
		latest = append([]logLine{line}, latest...)
	}
	return latest
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// span holds the fields that the demonstration reads from a recorded span.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	host string
}

// printTrace waits for the spans of the last contribution that a remote upstream
// answered, and prints them.
func (d *demo) printTrace() error {
	deadline := time.Now().Add(spanWait)
	for {
		spans, err := d.readSpans()
		if err != nil {
			return err
		}
		names := map[string]bool{}
		for _, s := range spans {
			names[s.Name] = true
		}
		if names["entry"] && names["hop"] && names["deliver"] && names["upstream"] {
			printSpans(d.requestID, spans)
			return nil
		}
		if time.Now().After(deadline) {
			return mismatch("spans of request "+d.requestID, len(spans), 4, "")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func printSpans(request string, spans []span) {
	fmt.Printf("trace of request %s:\n", request)
	for _, s := range spans {
		fmt.Printf("  %-8s at %s: %s, span %s, parent %s\n",
			s.Name, s.host, s.EndTime.Sub(s.StartTime), s.SpanContext.SpanID, s.Parent.SpanID)
	}
}

func (d *demo) readSpans() ([]span, error) {
	var found []span
	for _, host := range d.fleet.Hosts {
		file, err := os.Open(host.TraceFile)
		if err != nil {
			return nil, fmt.Errorf("open spans: %w", err)
		}
		decoder := json.NewDecoder(bufio.NewReader(file))
		for {
			var s span
			if decoder.Decode(&s) != nil {
				break
			}
			for _, attribute := range s.Attributes {
				if attribute.Key == "request.id" && attribute.Value.Value == d.requestID {
					s.host = host.Spec.Name
					found = append(found, s)
				}
			}
		}
		_ = file.Close()
	}
	return found, nil
}

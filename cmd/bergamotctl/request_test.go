package main

import (
	"strings"
	"testing"
)

const nodeLog = `
{"@timestamp":"2026-01-01T00:00:01Z","@message":"configuration in force","host":"a","revision":7}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"configuration in force","host":"a","revision":9}
{"@timestamp":"2026-01-01T00:00:02Z","@message":"configuration in force","host":"c","revision":9}
not a line of the log
{"@timestamp":"2026-01-01T00:00:05Z","@message":"request refused","host":"a","request_id":"x","reason":"overload"}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"order refused","host":"b","request_id":"x","reason":"overload"}
{"@timestamp":"2026-01-01T00:00:04Z","@message":"order refused","host":"b","request_id":"y","reason":"overload"}
{"@timestamp":"2026-01-01T00:00:06Z","@message":"configuration in force","host":"a","revision":11}
`

func TestRequestTimeline(t *testing.T) {
	cases := []struct {
		name, id string
		want     []string
	}{
		{"lines of all nodes in order, after the state before them", "x",
			[]string{"a configuration in force revision=9", "b order refused reason=overload", "a request refused reason=overload"}},
		{"another request", "y", []string{"b order refused reason=overload"}},
		{"request in no log", "z", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lines, err := readLog(strings.NewReader(nodeLog))
			if err != nil {
				t.Fatalf("readLog: got %v, want nil", err)
			}
			var got []string
			for _, line := range requestTimeline(c.id, lines) {
				got = append(got, line.Host+" "+line.Message+" "+line.fields())
			}
			if strings.Join(got, "\n") != strings.Join(c.want, "\n") {
				t.Errorf("lines: got %q, want %q", got, c.want)
			}
		})
	}
}

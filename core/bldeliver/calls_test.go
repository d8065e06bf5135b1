package bldeliver_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// requestInterval is the time between two requests of the classifier's tests.
const requestInterval = 10 * time.Millisecond

// replayHosts are the services of the hosts at which callers' requests enter.
var replayHosts = []blvalue.ServiceName{"s1", "s2", "s3"}

// classifier feeds requests to the classifier of calls.
type classifier struct {
	calls bldeliver.CallClasses
	now   bltimer.Instant
}

func (c *classifier) see(class string, origins ...blvalue.ServiceName) {
	for _, origin := range origins {
		c.now = c.now.Add(requestInterval)
		c.calls, _ = c.calls.WithRequest(class, origin, c.now)
	}
}

func repeated(count int, origins ...blvalue.ServiceName) []blvalue.ServiceName {
	list := make([]blvalue.ServiceName, 0, count)
	for i := range count {
		list = append(list, origins[i%len(origins)])
	}
	return list
}

// TestCallsAreRecognised guards against calls that aren't told from callers' requests,
// and against callers' requests that are taken for calls.
func TestCallsAreRecognised(t *testing.T) {
	callers := repeated(120, "s1", "s2", "s3")
	cases := []struct {
		name    string
		callers []blvalue.ServiceName
		calls   []blvalue.ServiceName
		want    bool
	}{
		{"all from one service", callers, repeated(200, "s1"), true},
		{"too few", callers, repeated(31, "s1"), false},
		{"within less than a second", callers, repeated(64, "s1"), false},
		{"one of the latest from another service", callers, append(repeated(200, "s1"), "s2"), false},
		{"again all from one service", callers, append(append(repeated(200, "s1"), "s2"), repeated(200, "s1")...), true},
		{"the service that makes them changes", callers, append(repeated(200, "s1"), repeated(200, "s2")...), true},
		{"origin unknown", callers, repeated(200, ""), false},
		{"no other class from several services", repeated(120, "s2"), repeated(400, "s1"), false},
		{"no other class", nil, repeated(400, "s1"), false},
		{"callers nearly all at hosts of the same service", repeated(120, "s1", "s1", "s1", "s1", "s1", "s1", "s2"), repeated(200, "s1"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var feed classifier
			feed.see("write", c.callers...)
			if c.name == "within less than a second" {
				feed.now = feed.now.Add(-time.Second)
			}
			feed.see("call", c.calls...)
			if got := feed.calls.Contains("call"); got != c.want {
				t.Errorf("calls recognised: got %t, want %t", got, c.want)
			}
			if feed.calls.Contains("write") {
				t.Error("callers' class: got recognised as calls, want not")
			}
		})
	}
}

// TestChanceOfMisclassification replays callers' requests of two classes that enter at the
// hosts of three services. The stated chance is one in 1e9 for each request.
func TestChanceOfMisclassification(t *testing.T) {
	cases := []struct{ largest float64 }{{0.34}, {0.5}, {0.7}, {0.85}, {0.97}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("largest service has %.2f of the hosts", c.largest), func(t *testing.T) {
			random := rand.New(rand.NewPCG(17, 3))
			var feed classifier
			for range 200_000 {
				class, origin := "read", blvalue.ServiceName("s1")
				if random.IntN(2) == 0 {
					class = "write"
				}
				if draw := random.Float64(); draw > c.largest {
					origin = replayHosts[1+random.IntN(2)]
				}
				feed.see(class, origin)
				if recognised := feed.calls.Recognised(); len(recognised) > 0 {
					t.Fatalf("recognised as calls: got %v, want none", recognised)
				}
			}
		})
	}
}

// TestRecognitionIsBounded guards against a table that grows with the names of classes.
func TestRecognitionIsBounded(t *testing.T) {
	var feed classifier
	for i := range 400 {
		feed.see(fmt.Sprint("class", i), "s1")
	}
	feed.see("write", repeated(200, "s1", "s2")...)
	feed.see("call", repeated(400, "s1")...)
	if feed.calls.Contains("call") {
		t.Error("class beyond the bound: got recognised, want left as a callers' class")
	}
}

package blnode

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/blresponse"
)

// TestBrokenResponsesAreRecorded guards against a broken response of which neither the log
// nor the metrics tell the reason.
func TestBrokenResponsesAreRecorded(t *testing.T) {
	order := bldeliver.Order{RequestID: "id_1", Target: blroute.Target{Upstream: "pot_1"}}
	cases := []struct {
		name          string
		record        func(*Node)
		source, fault string
		wanted        []string
	}{
		{"answer", func(n *Node) {
			n.recordBrokenAnswer(sourceUpstream, order, bldeliver.Delivery{
				Refusal: blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "status 000"), Fault: blvalue.FaultStatus,
			})
		}, "upstream", "invalid_status", []string{`"request_id":"id_1"`, `"upstream":"pot_1"`, `"outcome":"unknown"`}},
		{"order", func(n *Node) {
			n.recordBrokenOrders(blreconciler.Send{Upstream: blvalue.Upstream{Name: "pot_1"}}, []blreconciler.Answer{
				{Result: blreconciler.ResultDone}, {Result: blreconciler.ResultUnknown, Fault: blvalue.FaultCut},
			})
		}, "order", "cut_short", []string{`"upstream":"pot_1"`}},
		{"grant", func(n *Node) {
			n.recordFailedGrant("pot_1", blresponse.BrokenError{Fault: blvalue.FaultFieldName})
		}, "order", "invalid_field_name", []string{`"kind":"grant"`}},
		{"store", func(n *Node) {
			n.recordBrokenStore(blresponse.BrokenError{Fault: blvalue.FaultReset, Detail: "the connection was lost"})
		}, "store", "connection_reset", []string{"the connection was lost"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log, metrics bytes.Buffer
			n := &Node{logger: bllog.New("host_1", "info", &log), metrics: blmetric.New(), logLimiter: bllog.NewRateLimiter(logLinesPerSecond)}
			c.record(n)
			n.metrics.Write(&metrics)
			for _, want := range append(c.wanted, `"source":"`+c.source+`"`, `"fault":"`+c.fault+`"`) {
				if !strings.Contains(log.String(), want) {
					t.Errorf("log: got %q, want %s in it", log.String(), want)
				}
			}
			if want := `bergamotlead_broken_responses_total{source="` + c.source + `",fault="` + c.fault + `"} 1`; !strings.Contains(metrics.String(), want) {
				t.Errorf("metrics: want %s in them", want)
			}
		})
	}
}

// TestWholeResponsesAreNotRecorded checks that a refusal by the upstream and a failure to
// connect are no broken responses.
func TestWholeResponsesAreNotRecorded(t *testing.T) {
	var log, metrics bytes.Buffer
	n := &Node{logger: bllog.New("host_1", "info", &log), metrics: blmetric.New(), logLimiter: bllog.NewRateLimiter(logLinesPerSecond)}
	n.recordBrokenAnswer(sourceUpstream, bldeliver.Order{}, bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonOverload, "")})
	n.recordBrokenOrders(blreconciler.Send{}, []blreconciler.Answer{{Result: blreconciler.ResultRefused}})
	n.recordFailedGrant("pot_1", io.ErrUnexpectedEOF)
	n.metrics.Write(&metrics)
	if log.Len() > 0 || strings.Contains(metrics.String(), "broken_responses") {
		t.Errorf("got log %q, want none, and no metric", log.String())
	}
}

package blbudget_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blmetric"
)

const callers = blmemory.ListenerCallers

// site is a budget under test.
type site struct {
	*blbudget.Budget

	clock   *bltimer.Manual
	metrics *blmetric.Set
	log     *bytes.Buffer
}

func newSite() site {
	s := site{clock: bltimer.NewManual(), metrics: blmetric.New(), log: &bytes.Buffer{}}
	logger := hclog.New(&hclog.LoggerOptions{Output: s.log, JSONFormat: true})
	s.Budget = blbudget.New(blmemory.NewLimits(1, 0), s.clock, s.metrics, logger)
	return s
}

// requestBytes is what callers' requests may hold.
func (s site) requestBytes() int64 {
	return s.View().Limits().RequestBytes - s.View().Limits().MessageBytes
}

// TestActivityDecidesWhoIsClosed guards against a decision on what a connection did long
// ago: the one that has sent since isn't closed. A closing is counted and logged.
func TestActivityDecidesWhoIsClosed(t *testing.T) {
	s := newSite()
	closed := make([]bool, 2)
	holders := make([]*blbudget.Holder, 2)
	for i := range holders {
		holders[i] = s.Open(callers, "a", func() { closed[i] = true })
		holders[i].Enter(blmemory.PhaseReading)
		if !holders[i].Reserve(blmemory.KindHead, s.requestBytes()/2) {
			t.Fatalf("share %d: got refused, want granted", i)
		}
	}
	s.clock.Advance(2 * time.Second)
	holders[0].ArrivedMore(0)
	if !s.Open(callers, "b", nil).Reserve(blmemory.KindHead, 1000) {
		t.Error("share: got refused, want granted")
	}
	if closed[0] || !closed[1] {
		t.Errorf("closed: got %v, want the second one", closed)
	}
	var metrics bytes.Buffer
	s.metrics.Write(&metrics)
	for _, want := range []string{
		`bergamotlead_clients_closed_total{reason="memory"} 1`, `bergamotlead_memory_reserved_bytes{kind="head"}`,
	} {
		if !strings.Contains(metrics.String(), want) {
			t.Errorf("metrics: got none %s", want)
		}
	}
	if got := s.log.String(); !strings.Contains(got, `"reason":"memory"`) || !strings.Contains(got, `"client":"a"`) {
		t.Errorf("log: got %s, want the reason and the client", got)
	}
}

// TestStartThatIsNeededKeepsItsShare guards against shares that are counted as free while
// a buffered start can't be dropped.
func TestStartThatIsNeededKeepsItsShare(t *testing.T) {
	for _, dropped := range []bool{true, false} {
		s := newSite()
		h := s.Open(callers, "a", func() { t.Error("connection: got closed, want open") })
		h.Enter(blmemory.PhasePassed)
		h.Reserve(blmemory.KindStart, s.requestBytes())
		h.KeepStart(func() bool { return dropped })
		h.StartSent()
		s.Open(callers, "b", nil).Reserve(blmemory.KindHead, 1000)
		if got := s.View().Used(blmemory.KindStart); got > 0 == dropped {
			t.Errorf("share of a start that was dropped (%t): got %d", dropped, got)
		}
	}
}

// TestEndedRequestsReturnShares guards against shares that outlive their request.
func TestEndedRequestsReturnShares(t *testing.T) {
	s := newSite()
	var clients sync.WaitGroup
	for range 50 {
		clients.Go(func() {
			h := s.Open(callers, "a", func() {})
			for range 20 {
				h.Enter(blmemory.PhaseReading)
				h.Reserve(blmemory.KindHead, 5000)
				h.Enter(blmemory.PhasePassed)
				h.Take(blmemory.KindResponse, 5000)
				h.EndRequest()
			}
			h.Close()
		})
	}
	clients.Wait()
	for kind := range blmemory.KindCount {
		if got := s.View().Used(kind); got != 0 {
			t.Errorf("shares of %s: got %d, want 0", kind, got)
		}
	}
}

// TestHolderWithoutBudget guards against a server without a budget that fails.
func TestHolderWithoutBudget(t *testing.T) {
	var h *blbudget.Holder
	h.Enter(blmemory.PhaseReading)
	h.ArrivedMore(0)
	h.Take(blmemory.KindResponse, 1)
	h.KeepStart(nil)
	h.StartSent()
	h.EndRequest()
	h.Close()
	if !h.Reserve(blmemory.KindHead, 1<<40) {
		t.Error("share: got refused, want granted")
	}
}

// BenchmarkConnection measures what a connection costs beside a thousand others.
func BenchmarkConnection(b *testing.B) {
	s := blbudget.New(blmemory.NewLimits(0, 0), bltimer.NewSystem(), blmetric.New(), hclog.NewNullLogger())
	for range 1000 {
		s.Open(callers, "a", func() {})
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Open(callers, "b", func() {}).Close()
	}
}

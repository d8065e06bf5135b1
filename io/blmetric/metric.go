// Package blmetric counts what the process does, for monitoring.
package blmetric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotlead/core/blvalue"
)

// Set holds the metrics of one process.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Answered counts a request that an upstream answered, and its time.
func (s *Set) Answered(service blvalue.ServiceName, account blvalue.AccountName, elapsed time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_requests_total{service=%q,account=%q}`, service, account)).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`bergamotlead_request_seconds{service=%q}`, service)).Update(elapsed.Seconds())
}

// Refused counts a request that no upstream answered. The service is left out,
// since callers choose it freely.
func (s *Set) Refused(account blvalue.AccountName, refusal *blvalue.Refusal) {
	s.set.GetOrCreateCounter(fmt.Sprintf(
		`bergamotlead_refusals_total{account=%q,outcome=%q,reason=%q}`, account, refusal.Outcome, refusal.Reason,
	)).Inc()
}

// Retried counts a request that was sent again.
func (s *Set) Retried(reason blvalue.RefusalReason) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_retries_total{reason=%q}`, reason)).Inc()
}

// StoreCall counts a call to the platform's store.
func (s *Set) StoreCall(kind string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_store_calls_total{kind=%q}`, kind)).Inc()
}

// Gauge reports the result of read under name whenever metrics are written.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics in the Prometheus text format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

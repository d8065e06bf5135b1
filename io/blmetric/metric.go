// Package blmetric collects the metrics of the process and writes them in the
// Prometheus text format.
package blmetric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotlead/core/blvalue"
)

// Set is the set of metrics of one process.
type Set struct {
	set *metrics.Set
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet()}
}

// Answered counts a request that an upstream answered and records its latency.
func (s *Set) Answered(service blvalue.ServiceName, account blvalue.AccountName, elapsed time.Duration) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_requests_total{service=%q,account=%q}`, service, account)).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`bergamotlead_request_seconds{service=%q}`, service)).Update(elapsed.Seconds())
}

// Refused counts a request that no upstream answered. It has no service label:
// callers can send any service name, so the number of series would be unbounded.
func (s *Set) Refused(account blvalue.AccountName, refusal *blvalue.Refusal) {
	s.set.GetOrCreateCounter(fmt.Sprintf(
		`bergamotlead_refusals_total{account=%q,outcome=%q,reason=%q}`, account, refusal.Outcome, refusal.Reason,
	)).Inc()
}

// Retried counts a retry of a request.
func (s *Set) Retried(reason blvalue.RefusalReason) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_retries_total{reason=%q}`, reason)).Inc()
}

// UpstreamFailed counts a response of an upstream with a status of 500 or above.
func (s *Set) UpstreamFailed(status int) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_upstream_failures_total{status="%d"}`, status)).Inc()
}

// BrokenResponse counts a broken response of an upstream to a request or to an order, of
// another node or of the store.
func (s *Set) BrokenResponse(source string, fault blvalue.ResponseFault) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_broken_responses_total{source=%q,fault=%q}`, source, fault)).Inc()
}

// StoreCall counts a call to the platform's store.
func (s *Set) StoreCall(kind string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_store_calls_total{kind=%q}`, kind)).Inc()
}

// ConnectionClosed counts a connection that was closed for the sake of others.
func (s *Set) ConnectionClosed(reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_clients_closed_total{reason=%q}`, reason)).Inc()
}

// UploadEnded counts a stalled upload that was ended for requests that waited.
func (s *Set) UploadEnded() {
	s.set.GetOrCreateCounter(`bergamotlead_uploads_ended_total`).Inc()
}

// ShareRefused counts a share of the memory or of the connections that was refused.
func (s *Set) ShareRefused(reason, kind string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`bergamotlead_shares_refused_total{reason=%q,kind=%q}`, reason, kind)).Inc()
}

// Gauge registers a gauge whose value is read each time the metrics are
// written.
func (s *Set) Gauge(name string, read func() float64) {
	s.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics, and those of the Go process, in the Prometheus text
// format.
func (s *Set) Write(w io.Writer) {
	s.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

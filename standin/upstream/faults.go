package main

import (
	"encoding/json"
	"net/http"
	"time"

	"bergamotlead/standin/blstandin"
)

// faults are the injected faults, set through POST /standin/faults.
type faults struct {
	// ColdMS puts the upstream into cold start for this time, in milliseconds.
	ColdMS int64 `json:"cold_ms"`
	// HideCold omits the cold start from the announcements.
	HideCold bool `json:"hide_cold"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor"`
	// CutAnswers is the number of next responses to truncate in the middle.
	CutAnswers int `json:"cut_answers"`
	// AnswerBytes is the size to which responses are padded.
	AnswerBytes int `json:"answer_bytes"`
	// BreakAfterRun is the number of next requests whose connection is closed after
	// their execution, without a response.
	BreakAfterRun int `json:"break_after_run"`
	// FalseLoad is announced instead of the actual load unless it is zero.
	FalseLoad int `json:"false_load"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Leaving announces that the upstream accepts no new requests.
	Leaving bool `json:"leaving"`
	// NoShed turns load shedding off.
	NoShed bool `json:"no_shed"`
	// Endless answers requests and grants with bytes without end of this kind, unless
	// it is empty.
	Endless string `json:"endless"`
	// Broken answers requests with broken responses of this kind, unless it is empty.
	Broken string `json:"broken"`
}

// coldDetectionTime is the time in which the nodes should detect an unannounced
// cold start by its slow responses.
const coldDetectionTime = 300 * time.Millisecond

// counts holds the counters of the stand-in.
type counts struct {
	Runs   int `json:"runs"`
	Shed   int `json:"shed"`
	Fenced int `json:"fenced"`
	// ClientKeysSeen counts requests that arrived with a client key, which nodes must
	// not forward.
	ClientKeysSeen int `json:"keys_seen"`
	MaxConcurrent  int `json:"most_at_once"`
	// MaxConcurrentCold is the maximum number of concurrent requests in cold start.
	// When setFaults began the cold start, the maximum counts only from
	// coldDetectionTime after that.
	MaxConcurrentCold int `json:"most_at_once_cold"`
	Cancelled         int `json:"cancelled"`
}

func (s *server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	blstandin.Respond(w, http.StatusOK, c)
}

func (s *server) setFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.ColdMS > 0 {
		s.coldUntil = time.Now().Add(time.Duration(f.ColdMS) * time.Millisecond)
		s.coldDetectedBy = time.Now().Add(coldDetectionTime)
		f.ColdMS = 0
	}
	s.faults = f
	blstandin.Respond(w, http.StatusOK, f)
}

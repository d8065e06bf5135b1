package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// faults are the switches that the stand-in's /faults page sets.
type faults struct {
	// ColdMS puts the upstream in cold start for this long.
	ColdMS int64 `json:"cold_ms"`
	// HideCold keeps the cold start out of the announcements.
	HideCold bool `json:"hide_cold"`
	// SlowFactor multiplies the service time.
	SlowFactor float64 `json:"slow_factor"`
	// CutAnswers breaks off the next answers in the middle.
	CutAnswers int `json:"cut_answers"`
	// AnswerBytes pads the answers to this size.
	AnswerBytes int `json:"answer_bytes"`
	// BreakAfterRun ends the connection of the next requests after they ran.
	BreakAfterRun int `json:"break_after_run"`
	// FalseLoad is announced in place of the load when it isn't zero.
	FalseLoad int `json:"false_load"`
	// Silent stops the announcements.
	Silent bool `json:"silent"`
	// Leaving announces that the upstream takes no new work.
	Leaving bool `json:"leaving"`
	// NoShed takes every request, however many there are.
	NoShed bool `json:"no_shed"`
}

// coldDetectionTime is the time in which a cold start that nobody announced should
// be noticed by its slow answers.
const coldDetectionTime = 300 * time.Millisecond

// counts is what the stand-in has seen.
type counts struct {
	Runs       int `json:"runs"`
	Shed       int `json:"shed"`
	Fenced     int `json:"fenced"`
	KeysSeen   int `json:"keys_seen"`
	MaxConcurrent int `json:"most_at_once"`
	// MaxConcurrentCold is the most requests at once while cold, those that began before
	// the notice period had passed left out.
	MaxConcurrentCold  int `json:"most_at_once_cold"`
	Cancelled int `json:"cancelled"`
}

func (s *server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	respond(w, http.StatusOK, c)
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
	respond(w, http.StatusOK, f)
}

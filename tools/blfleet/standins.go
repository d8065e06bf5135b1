package blfleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
)

// SetPlatformFaults sets the faults that the platform stand-in injects.
func (f *Fleet) SetPlatformFaults(faults map[string]any) error {
	return f.call(http.MethodPost, "http://"+f.StoreAddress+"/faults", faults, nil)
}

// PlatformCalls returns the platform stand-in's call counts by kind.
func (f *Fleet) PlatformCalls() (map[string]int, error) {
	var counts map[string]int
	err := f.get("http://"+f.StoreAddress+"/calls", &counts)
	return counts, err
}

// SetUpstreamFaults sets the faults that an upstream stand-in injects.
func (f *Fleet) SetUpstreamFaults(upstream *RunningUpstream, faults map[string]any) error {
	return f.call(http.MethodPost, "http://"+upstream.Address+"/standin/faults", faults, nil)
}

// WorkEntry is one entry of an upstream's log of accepted work.
type WorkEntry struct {
	Upstream  string `json:"-"`
	AtNS      int64  `json:"at_ns"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Fence     string `json:"fence"`
	Account   string `json:"account"`
	Method    string `json:"method"`
	RequestID string `json:"request_id"`
}

// WorkLog returns an upstream's log of accepted work, including that of its
// earlier processes.
func (f *Fleet) WorkLog(upstream *RunningUpstream) ([]WorkEntry, error) {
	file, err := os.Open(f.workLogFile(upstream.Spec.Name))
	if err != nil {
		return nil, fmt.Errorf("open work log: %w", err)
	}
	defer func() { _ = file.Close() }()
	var log []WorkEntry
	decoder := json.NewDecoder(file)
	for {
		work := WorkEntry{Upstream: upstream.Spec.Name}
		err := decoder.Decode(&work)
		if errors.Is(err, io.EOF) {
			return log, nil
		}
		if err != nil {
			return log, fmt.Errorf("read work log: %w", err)
		}
		log = append(log, work)
	}
}

// Counts holds the counters of an upstream stand-in.
type Counts struct {
	Runs              int `json:"runs"`
	Shed              int `json:"shed"`
	Fenced            int `json:"fenced"`
	ClientKeysSeen    int `json:"keys_seen"`
	MaxConcurrent     int `json:"most_at_once"`
	MaxConcurrentCold int `json:"most_at_once_cold"`
	Cancelled         int `json:"cancelled"`
}

// Counts returns the counters of an upstream stand-in.
func (f *Fleet) Counts(upstream *RunningUpstream) (Counts, error) {
	var counts Counts
	err := f.get("http://"+upstream.Address+"/standin/counts", &counts)
	return counts, err
}

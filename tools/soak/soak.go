package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bergamotlead/tools/blfleet"
	"bergamotlead/tools/bllink"
)

const (
	account    = "family_app"
	partitions = 128
	startWait  = 30 * time.Second
	// recoveryBound bounds the time from the last fault until every key is owned and
	// served again.
	recoveryBound = 15 * time.Second
	// revisionPoll is the interval of the checks of revisions and withdrawn keys.
	revisionPoll = 100 * time.Millisecond
)

// soak is one run of a seed.
type soak struct {
	args     arguments
	seed     uint64
	binaries string
	folder   string
	plan     []plannedFault

	fleet *blfleet.Fleet
	links map[string]*bllink.Link
	// processLocks has one lock per host, held by a fault while it stops or starts a
	// process of the host.
	processLocks []sync.Mutex
	storeLock    sync.Mutex
	config       configState
	report       *report

	traffic   *blfleet.Traffic
	recovered time.Duration
	// lost counts requests that ran without an answer in planned stops.
	lost int

	mu         sync.Mutex
	violations []string
}

func newSoak(args arguments, seed uint64, binaries, folder string) *soak {
	return &soak{
		args: args, seed: seed, binaries: binaries, folder: folder, plan: newPlan(seed, args.Length, args.Hosts, drawnFaults(args.Restores)),
		links: map[string]*bllink.Link{}, processLocks: make([]sync.Mutex, args.Hosts), report: newReport(),
	}
}

// addViolation records the violation of an invariant.
func (s *soak) addViolation(format string, details ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, details...))
}

// logFaultError reports that a fault could not be set at a stand-in. This happens
// when another fault has stopped the stand-in.
func (s *soak) logFaultError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: fault not made:", err)
	}
}

// listViolations returns the recorded violations.
func (s *soak) listViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// execute runs the fleet under the plan and checks the invariants.
func (s *soak) execute() error {
	if err := s.start(); err != nil {
		return err
	}
	defer s.stop()
	s.traffic = s.fleet.StartTraffic(account, s.report.observe, s.fleet.Hosts...)
	ended := make(chan struct{})
	var checks sync.WaitGroup
	checks.Go(func() { s.runRevisionCheck(ended) })
	checks.Go(func() { s.runWithdrawnKeyCheck(ended) })
	err := s.runPlan()
	s.waitRecovery()
	close(ended)
	checks.Wait()
	s.traffic.Stop()
	if err != nil {
		return err
	}
	for _, violation := range s.fleet.CheckOwnership(s.traffic.ByKey()) {
		s.addViolation("%v", violation)
	}
	if s.traffic.Outcomes()[blfleet.OutcomeAnswered] == 0 {
		s.addViolation("answered requests: got 0, want some")
	}
	if s.args.Stops {
		if err := s.checkStops(); err != nil {
			return err
		}
	}
	return s.report.write(filepath.Join(s.folder, "report.svg"), s.plan)
}

func (s *soak) start() error {
	if err := os.MkdirAll(s.folder, 0o750); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	if err := writePlan(s.folder, s.plan); err != nil {
		return err
	}
	var err error
	s.fleet, err = blfleet.Start(blfleet.Options{
		Binaries: s.binaries, Folder: s.folder, Region: "sn_west", Hosts: blfleet.PotHosts(s.args.Hosts, true), WorkLogs: true, Link: s.link,
	})
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	if _, err := s.fleet.WaitReady(startWait); err != nil {
		s.stop()
		return fmt.Errorf("start fleet: %w", err)
	}
	if err := s.applyInitialConfig(); err != nil {
		s.stop()
		return err
	}
	if err := s.fleet.WaitOwners("pot", partitions, startWait); err != nil {
		s.stop()
		return fmt.Errorf("start fleet: %w", err)
	}
	return nil
}

func (s *soak) stop() {
	s.fleet.Stop()
	for _, l := range s.links {
		l.Close()
	}
}

// link starts a proxy to the target and returns its address.
func (s *soak) link(name, target string) (string, error) {
	l, err := bllink.New(target)
	if err != nil {
		return "", err
	}
	s.links[name] = l
	return l.Address(), nil
}

// runPlan injects the faults of the plan at their times, waits until all have
// ended and returns the first error.
func (s *soak) runPlan() error {
	startedAt := time.Now()
	results := make(chan error, len(s.plan))
	for _, planned := range s.plan {
		time.Sleep(planned.At - time.Since(startedAt))
		go func() { results <- injectors[planned.Fault](s, planned, s.fleet.Hosts[planned.Host]) }()
	}
	var first error
	for range s.plan {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// summaryLine returns the run's line of the summary.
func (s *soak) summaryLine() string {
	outcomes := s.traffic.Outcomes()
	verdict := "passed"
	if len(s.listViolations()) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("%-7d %8d  %7d  %7d  %6d  %6.1f  %6.1f  %7.1f s  %4d  %s", s.seed, outcomes[blfleet.OutcomeAnswered],
		outcomes["not_run"], outcomes["unknown"], outcomes[blfleet.OutcomeBroken],
		s.report.percentileMS(50), s.report.percentileMS(99), s.recovered.Seconds(), s.lost, verdict)
}

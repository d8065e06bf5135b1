package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

const (
	account    = "family_app"
	partitions = 128
	startWait  = 30 * time.Second
	// recoveryBound is how soon after the last fault every key is served again.
	recoveryBound = 15 * time.Second
	// revisionPoll is how often revisions and withdrawn keys are tried.
	revisionPoll = 100 * time.Millisecond
)

// soak is one run.
type soak struct {
	args     arguments
	seed     uint64
	binaries string
	folder   string
	plan     []step

	fleet *blfleet.Fleet
	links map[string]*link
	// processLocks is held by the fault that starts or stops a process of the host.
	processLocks      []sync.Mutex
	storeLock sync.Mutex
	config    configState
	report    *report

	traffic   *blfleet.Traffic
	recovered time.Duration

	mu    sync.Mutex
	violations []string
}

func newSoak(args arguments, seed uint64, binaries, folder string) *soak {
	return &soak{
		args: args, seed: seed, binaries: binaries, folder: folder, plan: newPlan(seed, args.Length, args.Hosts),
		links: map[string]*link{}, processLocks: make([]sync.Mutex, args.Hosts), report: newReport(),
	}
}

// addViolation notes a promise that was addViolation.
func (s *soak) addViolation(format string, details ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, details...))
}

// logFaultError notes that a stand-in could not be told of a fault, since another
// fault has stopped it.
func (s *soak) logFaultError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: fault not made:", err)
	}
}

// listViolations returns what was broken.
func (s *soak) listViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// execute runs the fleet under the plan and checks it.
func (s *soak) execute() error {
	if err := s.start(); err != nil {
		return err
	}
	defer s.stop()
	s.traffic = s.fleet.StartTraffic(account, s.report.observe, s.fleet.Hosts...)
	ended := make(chan struct{})
	var watches sync.WaitGroup
	watches.Go(func() { s.runRevisionCheck(ended) })
	watches.Go(func() { s.runWithdrawnKeyCheck(ended) })
	err := s.runPlan()
	s.waitRecovery()
	close(ended)
	watches.Wait()
	s.traffic.Stop()
	if err != nil {
		return err
	}
	for _, broken := range s.fleet.CheckOwnership(s.traffic.ByKey()) {
		s.addViolation("%v", broken)
	}
	if s.traffic.Outcomes()[blfleet.OutcomeAnswered] == 0 {
		s.addViolation("answered requests: got 0, want some")
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
		Binaries: s.binaries, Folder: s.folder, Region: "sn_west", Hosts: s.hosts(), WorkLogs: true, Link: s.link,
	})
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	if _, err := s.fleet.WaitLead(startWait); err != nil {
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
		l.close()
	}
}

func (s *soak) hosts() []blfleet.HostSpec {
	domains := []string{"sn_west_a", "sn_west_b", "sn_west_c"}
	hosts := make([]blfleet.HostSpec, 0, s.args.Hosts)
	for i := range s.args.Hosts {
		hosts = append(hosts, blfleet.HostSpec{
			Name: fmt.Sprintf("host_%d", i+1), Domain: domains[i%len(domains)],
			Upstreams: []blfleet.Upstream{blfleet.PotServer(i+1, true)},
		})
	}
	return hosts
}

// link puts a proxy before a target.
func (s *soak) link(name, target string) (string, error) {
	l, err := newLink(target)
	if err != nil {
		return "", err
	}
	s.links[name] = l
	return l.address(), nil
}

// runPlan makes the faults of the plan, each at its time, and waits for the last
// to end.
func (s *soak) runPlan() error {
	startedAt := time.Now()
	faults := make(chan error, len(s.plan))
	for _, at := range s.plan {
		time.Sleep(at.At - time.Since(startedAt))
		go func() { faults <- injectors[at.Fault](s, at, s.fleet.Hosts[at.Host]) }()
	}
	var first error
	for range s.plan {
		if err := <-faults; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// waitRecovery waits until every key is owned and served again.
func (s *soak) waitRecovery() {
	startedAt := time.Now()
	for time.Since(startedAt) < recoveryBound {
		if s.servesAllPartitions() {
			s.recovered = time.Since(startedAt)
			return
		}
	}
	s.recovered = recoveryBound
	s.addViolation("keys unserved %s after the last fault", recoveryBound)
}

// servesAllPartitions reports whether each host has every partition's key answered.
func (s *soak) servesAllPartitions() bool {
	for i := range partitions {
		host := s.fleet.Hosts[i%len(s.fleet.Hosts)]
		answer, err := s.fleet.Call(host, "GET", fmt.Sprintf("/pot/probe_%d/total", i), s.fleet.Keys[account], "")
		if err != nil || answer.Status != 200 {
			time.Sleep(revisionPoll)
			return false
		}
	}
	return true
}

// runRevisionCheck holds each node's revision of the configuration against going
// back within one run of the process.
func (s *soak) runRevisionCheck(ended <-chan struct{}) {
	type run struct {
		process  int
		revision uint64
	}
	last := make([]run, len(s.fleet.Hosts))
	for {
		for i, host := range s.fleet.Hosts {
			status, err := s.fleet.Status(host)
			if err != nil {
				continue
			}
			now := run{process: host.Node.PID(), revision: status.ConfigRevision}
			if now.process == last[i].process && now.revision < last[i].revision {
				s.addViolation("revision at %s: got %d after %d, want no fall", host.Spec.Name, now.revision, last[i].revision)
			}
			last[i] = now
		}
		select {
		case <-ended:
			return
		case <-time.After(revisionPoll):
		}
	}
}

// summaryLine is the run's summaryLine of the summary.
func (s *soak) summaryLine() string {
	outcomes := s.traffic.Outcomes()
	verdict := "passed"
	if len(s.listViolations()) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("%-7d %8d  %7d  %7d  %6d  %6.1f  %6.1f  %7.1f s  %s", s.seed, outcomes[blfleet.OutcomeAnswered],
		outcomes["not_run"], outcomes["unknown"], outcomes[blfleet.OutcomeBroken],
		s.report.quantile(50), s.report.quantile(99), s.recovered.Seconds(), verdict)
}

// applyInitialConfig applies the shipped document.
func (s *soak) applyInitialConfig() error {
	text, err := s.fleet.Document(filepath.Join(s.args.Root, "configs", "dakar.toml"), nil)
	if err != nil {
		return fmt.Errorf("make document: %w", err)
	}
	result, err := s.fleet.Apply(s.fleet.Hosts[0], 0, text)
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	s.config.document, s.config.revision, s.config.clientKey = text, result.Revision, s.fleet.Keys[rotatedAccount]
	s.config.digestsPath = blconfig.Path{Section: blconfig.SectionAccounts, Entry: rotatedAccount, Option: "key_digests"}
	return nil
}

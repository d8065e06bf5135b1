package main

import (
	"fmt"
	"time"

	"bergamotlead/tools/blfleet"
)

// stopGap is the time between planned stops, in which the fleet is calm.
const stopGap = 700 * time.Millisecond

// checkStops stops and starts each node in turn under load, without any other fault,
// and reports requests that an upstream ran without an answer to the caller.
func (s *soak) checkStops() error {
	startedAt := time.Now()
	traffic := s.fleet.StartTraffic(account, s.report.observe, s.fleet.Hosts...)
	err := s.stopInTurn()
	traffic.Stop()
	if err != nil {
		return err
	}
	lost, err := s.countLost(startedAt, traffic.ByKey())
	if err != nil {
		return err
	}
	s.lost = lost
	if lost > 0 {
		s.addViolation("requests that ran without an answer in planned stops: got %d of %v, want 0", lost, traffic.Outcomes())
	}
	return nil
}

func (s *soak) stopInTurn() error {
	for i, host := range s.fleet.Hosts {
		time.Sleep(stopGap)
		if err := injectors[faultStopNode](s, plannedFault{Host: i}, host); err != nil {
			return err
		}
	}
	time.Sleep(stopGap)
	return nil
}

// countLost returns the number of requests that an upstream has run since the given
// time and that no caller got an answer to.
func (s *soak) countLost(since time.Time, outcomes map[string]blfleet.KeyOutcomes) (int, error) {
	runs := map[string]int{}
	for _, host := range s.fleet.Hosts {
		for _, upstream := range host.Upstreams {
			log, err := s.fleet.WorkLog(upstream)
			if err != nil {
				return 0, fmt.Errorf("log of %s: %w", upstream.Spec.Name, err)
			}
			for _, work := range log {
				if work.AtNS >= since.UnixNano() {
					runs[work.Key]++
				}
			}
		}
	}
	return unanswered(runs, outcomes), nil
}

// unanswered returns by how much the runs of all keys exceed the answers.
func unanswered(runs map[string]int, outcomes map[string]blfleet.KeyOutcomes) int {
	lost := 0
	for key, count := range runs {
		lost += max(0, count-outcomes[key].Answered)
	}
	return lost
}

package main

import (
	"fmt"
	"time"
)

// waitRecovery waits until the probe keys are owned and served again.
func (s *soak) waitRecovery() {
	startedAt := time.Now()
	for time.Since(startedAt) < recoveryBound {
		if s.servesProbeKeys() {
			s.recovered = time.Since(startedAt)
			return
		}
	}
	s.recovered = recoveryBound
	s.addViolation("keys unserved %s after the last fault", recoveryBound)
}

// servesProbeKeys reports whether all probe keys are answered, each through one of
// the hosts in rotation. There are as many probe keys as partitions.
func (s *soak) servesProbeKeys() bool {
	for i := range partitions {
		host := s.fleet.Hosts[i%len(s.fleet.Hosts)]
		response, err := s.fleet.Call(host, "GET", fmt.Sprintf("/pot/probe_%d/total", i), s.fleet.ClientKeys[account], "")
		if err != nil || response.Status != 200 {
			time.Sleep(revisionPoll)
			return false
		}
	}
	return true
}

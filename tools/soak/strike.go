package main

import (
	"fmt"
	"syscall"
	"time"

	"bergamotlead/tools/blfleet"
)

const (
	slowFactor   = 20
	slowStoreMS  = 150
	lostAnswers  = 2
	linkDelay    = 40 * time.Millisecond
	brokenAnswer = 3
	stopWait     = 20 * time.Second
)

// strike makes the fault of a step and ends it after its time.
func (s *soak) strike(at step) error {
	host := s.fleet.Hosts[at.Host]
	switch at.Fault {
	case faultKillNode, faultStopNode, faultFreezeNode, faultReloadNode:
		return s.strikeNode(at, host)
	case faultKillUpstream, faultFreezeUpstream, faultSlowUpstream, faultBreakAnswers:
		return s.strikeUpstream(at, host.Upstreams[0])
	case faultStoreDown:
		return s.strikeStore(at, map[string]any{"down": true})
	case faultStoreSlow:
		return s.strikeStore(at, map[string]any{"delay_ms": slowStoreMS})
	case faultStoreLoses:
		return s.strikeStore(at, map[string]any{"lose_answers": lostAnswers})
	case faultStoreLapses:
		return s.strikeStore(at, map[string]any{"lapse_leases": true})
	case faultConfig:
		return s.changeConfig(host)
	case faultCutNode, faultDelayNode, faultResetNode, faultSilenceNode, faultCutStore:
		s.strikeLink(at, host)
	}
	return nil
}

// strikeNode holds the host's node for itself, so that no other fault starts or
// stops it meanwhile.
func (s *soak) strikeNode(at step, host *blfleet.Host) error {
	s.busy[at.Host].Lock()
	defer s.busy[at.Host].Unlock()
	switch at.Fault {
	case faultReloadNode:
		host.Node.Signal(syscall.SIGHUP)
		return nil
	case faultFreezeNode:
		host.Node.Signal(syscall.SIGSTOP)
		time.Sleep(at.Lasts)
		host.Node.Signal(syscall.SIGCONT)
		return nil
	case faultStopNode:
		if !host.Node.Terminate(stopWait) {
			s.broken("node of %s: got no end within %s of SIGTERM", host.Spec.Name, stopWait)
			host.Node.Kill()
		}
	default:
		host.Node.Kill()
		time.Sleep(at.Lasts)
	}
	if err := s.fleet.StartNode(host); err != nil {
		return fmt.Errorf("start node of %s: %w", host.Spec.Name, err)
	}
	return nil
}

func (s *soak) strikeUpstream(at step, upstream *blfleet.RunningUpstream) error {
	s.busy[at.Host].Lock()
	defer s.busy[at.Host].Unlock()
	switch at.Fault {
	case faultKillUpstream:
		upstream.Process.Kill()
		time.Sleep(at.Lasts)
		if err := s.fleet.StartUpstream(upstream); err != nil {
			return fmt.Errorf("start upstream %s: %w", upstream.Spec.Name, err)
		}
	case faultFreezeUpstream:
		upstream.Process.Signal(syscall.SIGSTOP)
		time.Sleep(at.Lasts)
		upstream.Process.Signal(syscall.SIGCONT)
	case faultBreakAnswers:
		s.unheard(s.fleet.UpstreamFaults(upstream, map[string]any{"break_after_run": brokenAnswer}))
	default:
		s.unheard(s.fleet.UpstreamFaults(upstream, map[string]any{"slow_factor": slowFactor}))
		time.Sleep(at.Lasts)
		s.unheard(s.fleet.UpstreamFaults(upstream, map[string]any{"slow_factor": 1}))
	}
	return nil
}

// strikeStore gives the store a fault, one at a time.
func (s *soak) strikeStore(at step, fault map[string]any) error {
	s.storeBusy.Lock()
	defer s.storeBusy.Unlock()
	if err := s.fleet.PlatformFaults(fault); err != nil {
		return fmt.Errorf("set fault of store: %w", err)
	}
	time.Sleep(at.Lasts)
	if err := s.fleet.PlatformFaults(map[string]any{}); err != nil {
		return fmt.Errorf("end fault of store: %w", err)
	}
	return nil
}

func (s *soak) strikeLink(at step, host *blfleet.Host) {
	name := "node/" + host.Spec.Name
	if at.Fault == faultCutStore {
		name = "store/" + host.Spec.Name
	}
	l := s.links[name]
	var b behaviour
	switch at.Fault {
	case faultResetNode:
		l.reset()
		return
	case faultDelayNode:
		b.delay = linkDelay
	case faultSilenceNode:
		b.silent = true
	default:
		b.cutBack, b.cutForward = at.Back, !at.Back
	}
	l.set(b)
	time.Sleep(at.Lasts)
	l.set(behaviour{})
	if b.delay == 0 {
		l.reset()
	}
}

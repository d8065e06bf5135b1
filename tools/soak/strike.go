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

// strike makes one fault at a host and ends it after its time.
type strike func(s *soak, at step, host *blfleet.Host) error

// strikes holds how each fault is made.
var strikes = map[fault]strike{
	faultKillNode:       alone(killNode),
	faultStopNode:       alone(stopNode),
	faultFreezeNode:     alone(freezeNode),
	faultReloadNode:     alone(reloadNode),
	faultKillUpstream:   alone(killUpstream),
	faultFreezeUpstream: alone(freezeUpstream),
	faultSlowUpstream:   alone(slowUpstream),
	faultBreakAnswers:   alone(breakAnswers),
	faultStoreDown:      store(map[string]any{"down": true}),
	faultStoreSlow:      store(map[string]any{"delay_ms": slowStoreMS}),
	faultStoreLoses:     store(map[string]any{"lose_answers": lostAnswers}),
	faultStoreLapses:    store(map[string]any{"lapse_leases": true}),
	faultCutNode:        cut("node/"),
	faultCutStore:       cut("store/"),
	faultDelayNode:      delayNode,
	faultSilenceNode:    silenceNode,
	faultResetNode:      resetNode,
	faultConfig:         func(s *soak, _ step, host *blfleet.Host) error { return s.changeConfig(host) },
}

// alone makes a fault while no other one starts or stops a process of the host.
func alone(made strike) strike {
	return func(s *soak, at step, host *blfleet.Host) error {
		s.busy[at.Host].Lock()
		defer s.busy[at.Host].Unlock()
		return made(s, at, host)
	}
}

func killNode(s *soak, at step, host *blfleet.Host) error {
	host.Node.Kill()
	time.Sleep(at.Lasts)
	return s.startNode(host)
}

func stopNode(s *soak, _ step, host *blfleet.Host) error {
	if !host.Node.Terminate(stopWait) {
		s.broken("node of %s: got no end within %s of SIGTERM", host.Spec.Name, stopWait)
		host.Node.Kill()
	}
	return s.startNode(host)
}

func (s *soak) startNode(host *blfleet.Host) error {
	if err := s.fleet.StartNode(host); err != nil {
		return fmt.Errorf("start node of %s: %w", host.Spec.Name, err)
	}
	return nil
}

func freezeNode(_ *soak, at step, host *blfleet.Host) error {
	freeze(host.Node, at.Lasts)
	return nil
}

func freeze(process *blfleet.Process, length time.Duration) {
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

func reloadNode(_ *soak, _ step, host *blfleet.Host) error {
	host.Node.Signal(syscall.SIGHUP)
	return nil
}

func killUpstream(s *soak, at step, host *blfleet.Host) error {
	upstream := host.Upstreams[0]
	upstream.Process.Kill()
	time.Sleep(at.Lasts)
	if err := s.fleet.StartUpstream(upstream); err != nil {
		return fmt.Errorf("start upstream %s: %w", upstream.Spec.Name, err)
	}
	return nil
}

func freezeUpstream(_ *soak, at step, host *blfleet.Host) error {
	freeze(host.Upstreams[0].Process, at.Lasts)
	return nil
}

func slowUpstream(s *soak, at step, host *blfleet.Host) error {
	s.unheard(s.fleet.UpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": slowFactor}))
	time.Sleep(at.Lasts)
	s.unheard(s.fleet.UpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": 1}))
	return nil
}

func breakAnswers(s *soak, _ step, host *blfleet.Host) error {
	s.unheard(s.fleet.UpstreamFaults(host.Upstreams[0], map[string]any{"break_after_run": brokenAnswer}))
	return nil
}

// store gives the platform's store a fault, one at a time.
func store(fault map[string]any) strike {
	return func(s *soak, at step, _ *blfleet.Host) error {
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
}

// cut loses what passes the host's link of a kind one way. What was lost leaves
// connections silent, which end with the cut.
func cut(kind string) strike {
	return func(s *soak, at step, host *blfleet.Host) error {
		l := s.links[kind+host.Spec.Name]
		l.hold(behaviour{cutBack: at.Back, cutForward: !at.Back}, at.Lasts)
		l.reset()
		return nil
	}
}

func delayNode(s *soak, at step, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].hold(behaviour{delay: linkDelay}, at.Lasts)
	return nil
}

func silenceNode(s *soak, at step, host *blfleet.Host) error {
	l := s.links["node/"+host.Spec.Name]
	l.hold(behaviour{silent: true}, at.Lasts)
	l.reset()
	return nil
}

func resetNode(s *soak, _ step, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].reset()
	return nil
}

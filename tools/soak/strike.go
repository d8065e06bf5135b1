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
	lostAnswerCount  = 2
	linkDelay    = 40 * time.Millisecond
	brokenAnswerCount = 3
	stopWait     = 20 * time.Second
)

// injector makes one fault at a host and ends it after its time.
type injector func(s *soak, at step, host *blfleet.Host) error

// injectors holds how each fault is made.
var injectors = map[fault]injector{
	faultKillNode:       withProcessLock(killNode),
	faultStopNode:       withProcessLock(stopNode),
	faultFreezeNode:     withProcessLock(freezeNode),
	faultReloadNode:     withProcessLock(reloadNode),
	faultKillUpstream:   withProcessLock(killUpstream),
	faultFreezeUpstream: withProcessLock(freezeUpstream),
	faultSlowUpstream:   withProcessLock(slowUpstream),
	faultBreakAnswers:   withProcessLock(breakAnswers),
	faultStoreDown:      injectStoreFault(map[string]any{"down": true}),
	faultStoreSlow:      injectStoreFault(map[string]any{"delay_ms": slowStoreMS}),
	faultStoreLoses:     injectStoreFault(map[string]any{"lose_answers": lostAnswerCount}),
	faultStoreLapses:    injectStoreFault(map[string]any{"lapse_leases": true}),
	faultCutNode:        cutLink("node/"),
	faultCutStore:       cutLink("store/"),
	faultDelayNode:      delayNode,
	faultSilenceNode:    silenceNode,
	faultResetNode:      resetNode,
	faultConfig:         func(s *soak, _ step, host *blfleet.Host) error { return s.changeConfig(host) },
}

// withProcessLock makes a fault while no other one starts or stops a process of the host.
func withProcessLock(made injector) injector {
	return func(s *soak, at step, host *blfleet.Host) error {
		s.processLocks[at.Host].Lock()
		defer s.processLocks[at.Host].Unlock()
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
		s.addViolation("node of %s: got no end within %s of SIGTERM", host.Spec.Name, stopWait)
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
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": slowFactor}))
	time.Sleep(at.Lasts)
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": 1}))
	return nil
}

func breakAnswers(s *soak, _ step, host *blfleet.Host) error {
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"break_after_run": brokenAnswerCount}))
	return nil
}

// injectStoreFault gives the platform's injectStoreFault a fault, one at a time.
func injectStoreFault(fault map[string]any) injector {
	return func(s *soak, at step, _ *blfleet.Host) error {
		s.storeLock.Lock()
		defer s.storeLock.Unlock()
		if err := s.fleet.SetPlatformFaults(fault); err != nil {
			return fmt.Errorf("set fault of store: %w", err)
		}
		time.Sleep(at.Lasts)
		if err := s.fleet.SetPlatformFaults(map[string]any{}); err != nil {
			return fmt.Errorf("end fault of store: %w", err)
		}
		return nil
	}
}

// cutLink loses what passes the host's link of a kind one way. What was lost leaves
// connections silent, which end with the cutLink.
func cutLink(kind string) injector {
	return func(s *soak, at step, host *blfleet.Host) error {
		l := s.links[kind+host.Spec.Name]
		l.setFor(linkFaults{cutBack: at.Back, cutForward: !at.Back}, at.Lasts)
		l.reset()
		return nil
	}
}

func delayNode(s *soak, at step, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].setFor(linkFaults{delay: linkDelay}, at.Lasts)
	return nil
}

func silenceNode(s *soak, at step, host *blfleet.Host) error {
	l := s.links["node/"+host.Spec.Name]
	l.setFor(linkFaults{silent: true}, at.Lasts)
	l.reset()
	return nil
}

func resetNode(s *soak, _ step, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].reset()
	return nil
}

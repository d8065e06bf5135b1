package main

import (
	"fmt"
	"syscall"
	"time"

	"bergamotlead/tools/blfleet"
	"bergamotlead/tools/bllink"
)

const (
	slowFactor        = 20
	slowStoreMS       = 150
	lostAnswerCount   = 2
	linkDelay         = 40 * time.Millisecond
	brokenAnswerCount = 3
	stopWait          = 20 * time.Second
	// signalEffectWait is how long a signal may take to end a process.
	signalEffectWait = 200 * time.Millisecond
	// maxRestoreDown bounds the time without the store before it returns restored, and
	// restoreAge is how much older than that it is at least.
	maxRestoreDown = 2 * time.Second
	restoreAge     = time.Second
)

// injector injects one fault at a host and ends it after its duration.
type injector func(s *soak, planned plannedFault, host *blfleet.Host) error

// injectors holds the injector of each fault.
var injectors = map[fault]injector{
	faultKillNode:           withProcessLock(killNode),
	faultStopNode:           withProcessLock(stopNode),
	faultFreezeNode:         withProcessLock(freezeNode),
	faultReloadNode:         withProcessLock(reloadNode),
	faultKillUpstream:       withProcessLock(killUpstream),
	faultFreezeUpstream:     withProcessLock(freezeUpstream),
	faultSlowUpstream:       withProcessLock(slowUpstream),
	faultBreakAnswers:       withProcessLock(breakAnswers),
	faultStoreDown:          injectStoreFault(map[string]any{"down": true}),
	faultStoreSlow:          injectStoreFault(map[string]any{"delay_ms": slowStoreMS}),
	faultStoreLosesAnswers:  injectStoreFault(map[string]any{"lose_answers": lostAnswerCount}),
	faultStoreExpiresLeases: injectStoreFault(map[string]any{"lapse_leases": true}),
	faultCutNode:            cutLink("node/"),
	faultCutStore:           cutLink("store/"),
	faultDelayNode:          delayNode,
	faultSilenceNode:        silenceNode,
	faultResetNode:          resetNode,
	faultConfig:             func(s *soak, _ plannedFault, host *blfleet.Host) error { return s.changeConfig(host) },
	faultRestoreStore:       restoreStore,
}

// withProcessLock holds the host's process lock while a fault is injected, so that
// no other fault stops or starts a process of the host at the same time.
func withProcessLock(inject injector) injector {
	return func(s *soak, planned plannedFault, host *blfleet.Host) error {
		s.processLocks[planned.Host].Lock()
		defer s.processLocks[planned.Host].Unlock()
		return inject(s, planned, host)
	}
}

func killNode(s *soak, planned plannedFault, host *blfleet.Host) error {
	host.Node.Kill()
	time.Sleep(planned.Duration)
	return s.startNode(host)
}

func stopNode(s *soak, _ plannedFault, host *blfleet.Host) error {
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

func freezeNode(_ *soak, planned plannedFault, host *blfleet.Host) error {
	freeze(host.Node, planned.Duration)
	return nil
}

func freeze(process *blfleet.Process, length time.Duration) {
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

// reloadNode sends SIGHUP. It ends a process that has just started and doesn't handle
// the signal yet; the platform starts such a process again.
func reloadNode(s *soak, _ plannedFault, host *blfleet.Host) error {
	_, statusErr := s.fleet.Status(host)
	host.Node.Signal(syscall.SIGHUP)
	if statusErr != nil && host.Node.EndsWithin(signalEffectWait) {
		return s.startNode(host)
	}
	return nil
}

func killUpstream(s *soak, planned plannedFault, host *blfleet.Host) error {
	upstream := host.Upstreams[0]
	upstream.Process.Kill()
	time.Sleep(planned.Duration)
	if err := s.fleet.StartUpstream(upstream); err != nil {
		return fmt.Errorf("start upstream %s: %w", upstream.Spec.Name, err)
	}
	return nil
}

func freezeUpstream(_ *soak, planned plannedFault, host *blfleet.Host) error {
	freeze(host.Upstreams[0].Process, planned.Duration)
	return nil
}

func slowUpstream(s *soak, planned plannedFault, host *blfleet.Host) error {
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": slowFactor}))
	time.Sleep(planned.Duration)
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": 1}))
	return nil
}

func breakAnswers(s *soak, _ plannedFault, host *blfleet.Host) error {
	s.logFaultError(s.fleet.SetUpstreamFaults(host.Upstreams[0], map[string]any{"break_after_run": brokenAnswerCount}))
	return nil
}

// injectStoreFault injects a fault into the platform's store, one at a time.
func injectStoreFault(fault map[string]any) injector {
	return func(s *soak, planned plannedFault, _ *blfleet.Host) error {
		s.storeLock.Lock()
		defer s.storeLock.Unlock()
		if err := s.fleet.SetPlatformFaults(fault); err != nil {
			return fmt.Errorf("set fault of store: %w", err)
		}
		time.Sleep(planned.Duration)
		if err := s.fleet.SetPlatformFaults(map[string]any{}); err != nil {
			return fmt.Errorf("end fault of store: %w", err)
		}
		return nil
	}
}

// restoreStore returns the store to an earlier state after a time without it. Both
// times follow from the duration of the fault.
func restoreStore(s *soak, planned plannedFault, _ *blfleet.Host) error {
	s.storeLock.Lock()
	defer s.storeLock.Unlock()
	down, age := min(planned.Duration, maxRestoreDown), restoreAge+2*planned.Duration
	fault := map[string]any{"restore_seconds": age.Seconds(), "restore_down_ms": down.Milliseconds()}
	if err := s.fleet.SetPlatformFaults(fault); err != nil {
		return fmt.Errorf("restore store: %w", err)
	}
	time.Sleep(down)
	return nil
}

// cutLink drops the data in one direction of the host's link of the given kind.
// Connections that lost data stay silent, so they are reset when the cut ends.
func cutLink(kind string) injector {
	return func(s *soak, planned plannedFault, host *blfleet.Host) error {
		l := s.links[kind+host.Spec.Name]
		l.SetFor(bllink.Faults{CutBack: planned.Back, CutForward: !planned.Back}, planned.Duration)
		l.Reset()
		return nil
	}
}

func delayNode(s *soak, planned plannedFault, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].SetFor(bllink.Faults{Delay: linkDelay}, planned.Duration)
	return nil
}

func silenceNode(s *soak, planned plannedFault, host *blfleet.Host) error {
	l := s.links["node/"+host.Spec.Name]
	l.SetFor(bllink.Faults{Silent: true}, planned.Duration)
	l.Silence()
	return nil
}

func resetNode(s *soak, _ plannedFault, host *blfleet.Host) error {
	s.links["node/"+host.Spec.Name].Reset()
	return nil
}

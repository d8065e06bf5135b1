package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// frozenFor is how long a machine is suspended.
	frozenFor = 5 * time.Second
	// heldTwiceFor is the bound of the rule.
	heldTwiceFor = 500 * time.Millisecond
	machines     = 7
	// nodeDelay is the short delay after which a killed node is started again.
	nodeDelay = time.Second
)

// suspend lets the server stand still: it does nothing, and its steady clock doesn't count.
func (s *server) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedAt = time.Now()
	s.world.suspended(s)
}

// resume lets it go on. What it held then it holds for as much longer.
func (s *server) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	length := time.Since(s.suspendedAt)
	for from := 0; from < keyCount; from += rangeKeys {
		if !s.until[from].After(s.suspendedAt) {
			continue
		}
		for k := from; k < from+rangeKeys; k++ {
			s.until[k] = s.until[k].Add(length)
		}
		s.world.held(s, order{From: from, Fence: s.fence[from]}, s.until[from])
	}
	s.suspendedAt = time.Time{}
	s.idle.Broadcast()
}

// awake waits while the server is suspended. The mutex is held.
func (s *server) awake() {
	for !s.suspendedAt.IsZero() {
		s.idle.Wait()
	}
}

// suspended ends the holds of a server that stands still.
func (w *world) suspended(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, list := range w.holds {
		for _, h := range list {
			if h.server == s && now.Before(h.end) {
				h.end = now
			}
		}
	}
}

// roles returns the names of the lead and its standby, by the lead's status page.
func (w *world) roles() (lead, standby string) {
	client := http.Client{Timeout: time.Second}
	for _, h := range w.hosts {
		response, err := client.Get("http://" + h.operatorAddress + "/status")
		if err != nil {
			continue
		}
		var status struct {
			Standby string `json:"standby"`
		}
		_ = json.NewDecoder(response.Body).Decode(&status)
		_ = response.Body.Close()
		if status.Standby != "" {
			return h.name, status.Standby
		}
	}
	return "", ""
}

// wakeWithoutNode suspends a machine. As it wakes, its node and that of the lead are killed;
// both are started again after a short delay.
func wakeWithoutNode(w *world, trouble bool) error {
	for i := range machines {
		h, err := w.newHost(fmt.Sprintf("host-%d", i+1), w.zones[i%len(w.zones)], shardedName, true)
		if err != nil {
			return err
		}
		if err := h.startNode(); err != nil {
			return err
		}
		if err := h.startServer(fmt.Sprintf("i-%08x", i+1)); err != nil {
			return err
		}
	}
	w.store.put("op/config", configuration(7))
	if err := w.awaitServing(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	leadName, standbyName := w.roles()
	var lead, frozen *host
	for _, h := range w.hosts {
		switch h.name {
		case leadName:
			lead = h
		case standbyName:
		default:
			frozen = h
		}
	}
	if lead == nil || frozen == nil {
		return fmt.Errorf("no lead found: %q %q", leadName, standbyName)
	}
	w.log("the lead is %s, its standby %s", leadName, standbyName)
	if trouble {
		_ = frozen.node.Process.Signal(syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
		frozen.server.suspend()
		w.log("%s is suspended", frozen.name)
		time.Sleep(frozenFor)
		frozen.killNode()
		lead.killNode()
		frozen.server.resume()
		w.log("%s wakes; its node and that of %s are killed", frozen.name, lead.name)
		time.Sleep(nodeDelay)
		w.checkHolds(time.Now())
		for _, h := range []*host{frozen, lead} {
			if err := h.startNode(); err != nil {
				return err
			}
		}
		w.log("both nodes are started again")
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		w.checkHolds(time.Now())
	}
	return nil
}

// checkHolds looks for ranges that two servers held for over half a second up to a time. What
// a started node does is left out: it can't see here that its machine was suspended.
func (w *world) checkHolds(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count, most := 0, time.Duration(0)
	for from, list := range w.holds {
		for i, a := range list {
			for _, b := range list[i+1:] {
				begin, end := a.begin, a.end
				if b.begin.After(begin) {
					begin = b.begin
				}
				if b.end.Before(end) {
					end = b.end
				}
				if until.Before(end) {
					end = until
				}
				length := end.Sub(begin)
				if a.server == b.server || length <= heldTwiceFor {
					continue
				}
				if count++; count <= 10 {
					w.logLocked("the keys %d to %d: %s with the fence %d and %s with %d for %v from %.3f s", from, from+rangeKeys-1,
						a.server.id, a.fence, b.server.id, b.fence, length.Round(time.Millisecond), begin.Sub(w.start).Seconds())
				}
				most = max(most, length)
			}
		}
	}
	w.logLocked("%d ranges held by two servers for over %v, at most %v", count, heldTwiceFor, most.Round(time.Millisecond))
	if count > 0 {
		w.violations = append(w.violations, fmt.Sprintf("OWNER: two servers that are up hold the same keys for over half a second: %d ranges, %v at most", count, most.Round(time.Millisecond)))
	}
}

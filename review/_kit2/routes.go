package main

import (
	"fmt"
	"net/http"
	"time"
)

// routesByPath sends requests whose paths no prefix begins, since a slash of the prefix is
// encoded in them. Without trouble the paths begin with no prefix in plain letters.
func routesByPath(w *world, trouble bool) error {
	for i := range 3 {
		h, err := w.newHost(fmt.Sprintf("host-%d", i+1), w.zones[i], shardedName, true)
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
	w.log("all keys are held; the prefixes of the configuration are %s, %s and %s", safePath, unsafePath, calledPath)
	lines := []string{"GET /viewx/a", "POST /chipx/a", "GET /a/view/a", "POST /chip", "GET /"}
	if trouble {
		lines = append(lines, "GET /view%2Fa", "GET /view%2fa", "POST /chip%2Fa", "POST %2Fchip%2Fa", "POST /chip%2F")
	}
	number := 0
	for _, line := range lines {
		for _, h := range w.hosts {
			number++
			id := fmt.Sprintf("%016x", number)
			status, err := w.send(h, line, id, number*4111%keyCount)
			w.mu.Lock()
			ran, ok := w.ranAs[id]
			w.logLocked("to %s: %s %s; answer: %d %v; a server ran: %s", h.name, id, line, status, err, ran)
			if ok {
				w.violations = append(w.violations, fmt.Sprintf("ROUTE: a server of %s ran %q, whose path no prefix of the configuration begins", shardedName, ran))
			}
			w.mu.Unlock()
			if !trouble && status != http.StatusNotFound {
				return fmt.Errorf("%s: got %d %w, want 404", line, status, err)
			}
		}
	}
	return nil
}

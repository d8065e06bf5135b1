package blfleet

import (
	"time"

	"bergamotlead/core/blvalue"
)

// TimeoutError reports something that did not come about in time.
type TimeoutError struct {
	What string
}

// Error returns what was waited for.
func (e TimeoutError) Error() string {
	return "timed out waiting for " + e.What
}

const pollInterval = 10 * time.Millisecond

// waitFor waits until holds is true.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return TimeoutError{What: what}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitLead waits until a node leads.
func (f *Fleet) WaitLead(limit time.Duration) (*Host, error) {
	var lead *Host
	err := waitFor(limit, "a lead", func() bool { lead = f.hostInLeadRole(); return lead != nil })
	return lead, err
}

// WaitOwners waits until every partition of the service is granted.
func (f *Fleet) WaitOwners(service blvalue.ServiceName, partitions int, limit time.Duration) error {
	return waitFor(limit, "owners of "+string(service), func() bool {
		granted := 0
		for _, host := range f.Hosts {
			status, err := f.Status(host)
			if err != nil {
				continue
			}
			for _, upstream := range status.Upstreams {
				if upstream.Service == service {
					granted += upstream.Partitions
				}
			}
		}
		return granted == partitions
	})
}

package blfleet

import (
	"time"

	"bergamotlead/core/blvalue"
)

// TimeoutError reports a condition that was not met in time.
type TimeoutError struct {
	What string
}

// Error implements error.
func (e TimeoutError) Error() string {
	return "timed out waiting for " + e.What
}

const pollInterval = 10 * time.Millisecond

// waitFor polls condition until it is true or the limit has passed.
func waitFor(limit time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return TimeoutError{What: what}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitLead waits until a node has the role of lead and returns its host.
func (f *Fleet) WaitLead(limit time.Duration) (*Host, error) {
	var lead *Host
	err := waitFor(limit, "a lead", func() bool { lead = f.hostInLeadRole(); return lead != nil })
	return lead, err
}

// WaitReady waits until every node answers its operators and one has the role of lead,
// and returns the lead's host.
func (f *Fleet) WaitReady(limit time.Duration) (*Host, error) {
	err := waitFor(limit, "all nodes", func() bool {
		for _, host := range f.Hosts {
			if _, err := f.Status(host); err != nil {
				return false
			}
		}
		return true
	})
	if err != nil {
		return nil, err
	}
	return f.WaitLead(limit)
}

// WaitOwners waits until all partitions of the service are granted.
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

package main

import (
	"fmt"

	"bergamotlead/tools/blfleet"
)

// checkOwners checks that each pot was served by a single upstream and that no
// upstream received a client key.
func (d *demo) checkOwners() error {
	owners := map[string]string{}
	for _, host := range d.fleet.Hosts {
		for _, upstream := range host.Upstreams {
			if err := d.addOwners(owners, upstream); err != nil {
				return err
			}
		}
	}
	for pot, owner := range owners {
		fmt.Printf("pot %s is owned by %s\n", pot, owner)
	}
	return nil
}

func (d *demo) addOwners(owners map[string]string, upstream *blfleet.RunningUpstream) error {
	log, err := d.fleet.WorkLog(upstream)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	for _, work := range log {
		if owner, ok := owners[work.Key]; ok && owner != work.Upstream {
			return mismatch("owners of pot "+work.Key, work.Upstream, owner, "")
		}
		owners[work.Key] = work.Upstream
	}
	counts, err := d.fleet.Counts(upstream)
	if err != nil {
		return fmt.Errorf("read counts: %w", err)
	}
	if counts.ClientKeysSeen != 0 {
		return mismatch("client keys seen by "+upstream.Spec.Name, counts.ClientKeysSeen, 0, "")
	}
	return nil
}

package blnode

import (
	"context"
	"fmt"
	"slices"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

// UnknownHostError reports a host that is not named in the lead record.
type UnknownHostError struct {
	Host blvalue.HostName
}

// Error implements error.
func (e UnknownHostError) Error() string {
	return fmt.Sprintf("host %s is neither lead nor standby", e.Host)
}

// MarkLost records in the store that the process of a host named in the lead
// record has ended and will not come back. Only an operator can know that.
func (n *Node) MarkLost(ctx context.Context, host blvalue.HostName) error {
	entry, err := n.store.Get(ctx, n.keys.LeadRecord())
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	stored, err := blstore.DecodeRecord(entry)
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	incarnation, ok := recordedIncarnation(stored.Record, host)
	if !ok {
		return UnknownHostError{Host: host}
	}
	lost, err := n.store.Get(ctx, n.keys.LostHosts())
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	list, err := blstore.DecodeLost(lost)
	if err != nil || slices.Contains(list, incarnation) {
		return err
	}
	value, err := blstore.EncodeLost(append(list, incarnation))
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	if _, err := blplatform.Write(ctx, n.store, n.keys.LostHosts(), lost.Revision, value); err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	return nil
}

func recordedIncarnation(record bllead.Record, host blvalue.HostName) (blvalue.Incarnation, bool) {
	switch host {
	case record.Lead.Name:
		return record.Lead.Incarnation, true
	case record.Standby.Name:
		return record.Standby.Incarnation, true
	}
	return "", false
}

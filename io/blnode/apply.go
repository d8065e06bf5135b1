package blnode

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blgrpc/blproto"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

const (
	// applyTimeout bounds the time to write a change and to determine its
	// outcome.
	applyTimeout        = 5 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

// Apply validates and stores a configuration if this process is lead and may
// write to the store, and waits at most change.Wait until it is in force.
func (n *Node) Apply(ctx context.Context, change blgrpc.Change) blgrpc.ChangeResult {
	authority := n.duties.assign.View().Authority()
	now := n.clock.Now()
	if !authority.Holds(now) {
		return blgrpc.ChangeResult{Result: blproto.ApplyReply_RESULT_NOT_LEAD, Detail: "this node isn't lead"}
	}
	if !authority.MayChange {
		return refusedChange("the store can't be reached; nothing is changed until it answers again")
	}
	document, err := blsettings.ParseDocument(change.Document)
	if err != nil {
		return refusedChange(err.Error())
	}
	current := n.duties.assign.View().Config()
	if violations := blconfig.CheckChange(current.Document, document); len(violations) > 0 {
		return refusedChange(blconfig.ValidationError{Violations: violations}.Error())
	}
	result, maxGrantTTL := n.writeConfig(ctx, change, current, document)
	if result.Result == blproto.ApplyReply_RESULT_ACCEPTED {
		accepted := newAccepted(result.Revision, changeVersion(change.BaseRevision), document, string(change.Document))
		n.publishConfig(accepted.WithMaxGrantTTL(maxGrantTTL))
		result.InForce = n.waitInForce(ctx, result.Revision, change.Wait)
	}
	return result
}

func refusedChange(detail string) blgrpc.ChangeResult {
	return blgrpc.ChangeResult{Result: blproto.ApplyReply_RESULT_REFUSED, Detail: detail}
}

// writeConfig writes the document and reports only outcomes that are certain. It
// also returns the longer grant_ttl of the document and the one that it replaces. As
// long as the store holds an earlier one than that in force, no change is accepted.
func (n *Node) writeConfig(
	ctx context.Context, change blgrpc.Change, before blconfig.Accepted, after blconfig.Document,
) (blgrpc.ChangeResult, time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	stored, err := n.storedConfig(ctx)
	if err != nil {
		return refusedChange(err.Error()), 0
	}
	if documentVersion(stored) < before.Version {
		return refusedChange("the store was restored from an older copy; the configuration in force is written again first"), 0
	}
	maxGrantTTL := max(grantTTL(stored.Document), blconfig.NewPlan(after).Timing.GrantTTL)
	differences := blconfig.Difference(before.Document, after)
	settings := make([]string, 0, len(differences))
	for _, difference := range differences {
		settings = append(settings, difference.Path.String())
	}
	next := stored.WithChange(uuid.NewString(), string(change.Document), change.BaseRevision, time.Now().UTC(), settings)
	value, err := blstore.EncodeConfig(next.WithMaxGrantTTL(maxGrantTTL))
	if err != nil {
		return refusedChange(err.Error()), 0
	}
	n.metrics.StoreCall("swap")
	written, err := blplatform.Write(ctx, n.store, blstore.ConfigKey, change.BaseRevision, value)
	return changeResult(written, err), maxGrantTTL
}

// grantTTL returns the grant_ttl of a document, or zero if there is no valid
// document.
func grantTTL(text string) time.Duration {
	document, err := blsettings.ParseDocument([]byte(text))
	if err != nil {
		return 0
	}
	return blconfig.NewPlan(document).Timing.GrantTTL
}

// changeResult converts the outcome of a write into the result of the change.
func changeResult(written blplatform.WriteResult, err error) blgrpc.ChangeResult {
	switch written.Outcome {
	case blplatform.Written:
		return blgrpc.ChangeResult{
			Result: blproto.ApplyReply_RESULT_ACCEPTED, Revision: written.Entry.Revision,
		}
	case blplatform.Conflicted:
		return conflictResult(written.Entry)
	case blplatform.NotSent:
		return refusedChange(fmt.Sprintf("the store did not take the change: %v", err))
	case blplatform.Unresolved:
	}
	return blgrpc.ChangeResult{
		Result: blproto.ApplyReply_RESULT_UNKNOWN, Detail: fmt.Sprintf("the change may still take effect: %v", err),
	}
}

// storedConfig reads the stored configuration with its change history.
func (n *Node) storedConfig(ctx context.Context) (blstore.StoredConfig, error) {
	n.metrics.StoreCall("get")
	entry, err := n.store.Get(ctx, blstore.ConfigKey)
	if err != nil {
		return blstore.StoredConfig{}, fmt.Errorf("read configuration: %w", err)
	}
	stored, err := blstore.DecodeConfig(entry)
	if err != nil {
		return blstore.StoredConfig{}, fmt.Errorf("read configuration: %w", err)
	}
	return stored, nil
}

// History returns the latest configuration changes, newest first.
func (n *Node) History(ctx context.Context) ([]bloperator.PastChange, error) {
	stored, err := n.storedConfig(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]bloperator.PastChange, 0, len(stored.History))
	for _, past := range stored.History {
		list = append(list, bloperator.PastChange(past))
	}
	return list, nil
}

func conflictResult(current blplatform.Entry) blgrpc.ChangeResult {
	result := blgrpc.ChangeResult{
		Result: blproto.ApplyReply_RESULT_CONFLICT, Revision: current.Revision,
		Detail: fmt.Sprintf("another change came first: revision %d stands", current.Revision),
	}
	if stored, err := blstore.DecodeConfig(current); err == nil {
		result.Document = []byte(stored.Document)
	}
	return result
}

// waitInForce waits until the revision is in force on every node that may still
// admit requests, and reports whether that happened in time.
func (n *Node) waitInForce(ctx context.Context, revision uint64, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		if n.duties.assign.View().InForce(revision, n.clock.Now()) {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

package blnode

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// stateLog logs changes in the observed state of the node's upstreams, grants and
// lead, and nothing while that state stays the same.
type stateLog struct {
	logger hclog.Logger

	mu   sync.Mutex
	last map[string]string
	// era is the latest era in which the store returned a configuration.
	era     blplatform.Era
	eraRead bool
}

func newStateLog(logger hclog.Logger) *stateLog {
	return &stateLog{logger: logger, last: map[string]string{}}
}

// changed records the state of subject and reports whether it differs from the
// previous one.
func (l *stateLog) changed(subject, state string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last[subject] == state {
		return false
	}
	l.last[subject] = state
	return true
}

// logStore logs that the store was restored from an older copy, and that it returns an
// earlier version of the configuration than the one in force.
func (l *stateLog) logStore(accepted blconfig.Accepted) {
	era := blplatform.RevisionEra(accepted.Revision)
	if before, restored := l.nextEra(era); restored {
		l.logger.Info("store restored", "era_before", uint64(before), "era_after", uint64(era))
	}
	state := ""
	if accepted.StoredVersion < accepted.Version {
		state = fmt.Sprint(accepted.StoredVersion, accepted.Version)
	}
	if l.changed("stored version", state) && state != "" {
		l.logger.Info("restored configuration older than the one in force", "stored_version", accepted.StoredVersion,
			"version", accepted.Version, "revision", accepted.Revision)
	}
}

// nextEra records an era of the store. It returns the previous one, and whether the
// new one follows it.
func (l *stateLog) nextEra(era blplatform.Era) (blplatform.Era, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, restored := l.era, l.eraRead && era > l.era
	l.era, l.eraRead = max(l.era, era), true
	return before, restored
}

// logUpstreams logs the local upstreams whose state has changed.
func (l *stateLog) logUpstreams(announcements []blmember.Announcement) {
	for _, a := range announcements {
		state := fmt.Sprint(a.Upstream.Incarnation, a.Upstream.Leaving, a.Cold, a.Address)
		if l.changed("upstream "+string(a.Upstream.Name), state) {
			l.logger.Info("upstream seen", "upstream", string(a.Upstream.Name), "run", string(a.Upstream.Incarnation),
				"service", string(a.Upstream.Service), "leaving", a.Upstream.Leaving, "cold", a.Cold, "sequence", a.Sequence)
		}
	}
	if len(announcements) == 0 && l.changed("upstreams", "none") {
		l.logger.Warn("no local upstream is known")
	} else if len(announcements) > 0 {
		l.changed("upstreams", "some")
	}
}

// logGrant logs a change of what an upstream may serve.
func (l *stateLog) logGrant(grant blgrant.Grant) {
	if l.changed("grant "+string(grant.Upstream), grant.Fence.String()) {
		l.logger.Info("grant changed", "upstream", string(grant.Upstream), "run", string(grant.Incarnation),
			"fence", grant.Fence.String(), "partitions", grant.Set.Len(), "giving_back", grant.Revoked().Len())
	}
}

// logSuspension logs that the host was suspended, given the sum of all suspensions.
func (l *stateLog) logSuspension(suspended time.Duration) {
	state := suspended.String()
	if l.changed("suspension", state) && suspended > 0 {
		l.logger.Warn("host was suspended", "suspended_ms", suspended.Milliseconds())
	}
}

// logWithholding logs that the lead begins or ends to withhold the partitions that upstreams
// may hold at a host that is back without its node.
func (l *stateLog) logWithholding(change blassign.WithholdingChanged) {
	if !change.Withheld {
		l.logger.Info("partitions no longer withheld", "of", string(change.Host), "partitions", change.Partitions)
		return
	}
	l.logger.Warn("host is back without its node, its partitions are withheld", "of", string(change.Host),
		"partitions", change.Partitions)
}

// logLead logs a change of the lead that answers this node.
func (l *stateLog) logLead(lead blvalue.Host, term uint64) {
	if l.changed("lead", fmt.Sprint(lead.Incarnation, term)) {
		l.logger.Info("lead heard", "lead", string(lead.Name), "term", term)
	}
}

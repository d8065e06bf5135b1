package blnode

import (
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blvalue"
)

// stateLog logs changes in the observed state of the node's upstreams, grants and
// lead, and nothing while that state stays the same.
type stateLog struct {
	logger hclog.Logger

	mu   sync.Mutex
	last map[string]string
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

// logLead logs a change of the lead that answers this node.
func (l *stateLog) logLead(lead blvalue.Host, term uint64) {
	if l.changed("lead", fmt.Sprint(lead.Incarnation, term)) {
		l.logger.Info("lead heard", "lead", string(lead.Name), "term", term)
	}
}

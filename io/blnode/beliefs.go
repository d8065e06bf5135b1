package blnode

import (
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blvalue"
)

// beliefs writes a line whenever what this process takes for true of its
// upstreams, grants or lead has changed, and none while it stays the same.
type beliefs struct {
	logger hclog.Logger

	mu   sync.Mutex
	last map[string]string
}

func newBeliefs(logger hclog.Logger) *beliefs {
	return &beliefs{logger: logger, last: map[string]string{}}
}

// changed reports whether the subject is believed otherwise than before.
func (b *beliefs) changed(subject, belief string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last[subject] == belief {
		return false
	}
	b.last[subject] = belief
	return true
}

// upstreams tells which upstreams run beside this node.
func (b *beliefs) upstreams(announcements []blmember.Announcement) {
	for _, a := range announcements {
		belief := fmt.Sprint(a.Upstream.Incarnation, a.Upstream.Leaving, a.Cold, a.Address)
		if b.changed("upstream "+string(a.Upstream.Name), belief) {
			b.logger.Info("upstream seen", "upstream", string(a.Upstream.Name), "run", string(a.Upstream.Incarnation),
				"service", string(a.Upstream.Service), "leaving", a.Upstream.Leaving, "cold", a.Cold, "sequence", a.Sequence)
		}
	}
	if len(announcements) == 0 && b.changed("upstreams", "none") {
		b.logger.Warn("no upstream beside this node")
	} else if len(announcements) > 0 {
		b.changed("upstreams", "some")
	}
}

// grant tells what an upstream may serve.
func (b *beliefs) grant(grant blgrant.Grant) {
	if b.changed("grant "+string(grant.Upstream), grant.Fence.String()) {
		b.logger.Info("grant changed", "upstream", string(grant.Upstream), "run", string(grant.Incarnation),
			"fence", grant.Fence.String(), "partitions", grant.Set.Len(), "giving_back", grant.Dropping().Len())
	}
}

// lead tells which lead answers this node.
func (b *beliefs) lead(lead blvalue.Host, term uint64) {
	if b.changed("lead", fmt.Sprint(lead.Incarnation, term)) {
		b.logger.Info("lead heard", "lead", string(lead.Name), "term", term)
	}
}

package blnode

import (
	"context"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blupstream"
)

const (
	heartbeatTimeout = 250 * time.Millisecond
	standbyTimeout   = 200 * time.Millisecond
	identifyTimeout  = 200 * time.Millisecond
	borrowTimeout    = 400 * time.Millisecond
)

// heartbeatSender sends heartbeats.
type heartbeatSender struct {
	client *blgrpc.Client
	grant  func(blgrant.Message) error
	put    func(blmember.Message) error
	outage *outageLog
	// loads returns the loads of the local upstreams.
	loads func() []blassign.UpstreamLoad
}

// NotLeadError reports a heartbeat that was answered by a node that isn't lead.
type NotLeadError struct{}

// Error implements error.
func (NotLeadError) Error() string { return "the node isn't lead" }

// perform adds the grants held and the upstreams' loads to a heartbeat and sends
// it.
func (s heartbeatSender) perform(effect blmember.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	answer := blmember.HeartbeatAnswered{SentAt: effect.SentAt, From: effect.To, Failed: true}
	reply := blring.NewReply[[]blgrant.Held]()
	if s.grant(blgrant.ReportRequested{Reply: reply}) == nil {
		if held, err := reply.Await(ctx); err == nil {
			heartbeat := effect.Heartbeat
			heartbeat.Held = trimHeld(held, effect.ListHeld)
			heartbeat.Loads = s.loads()
			answer.Reply, err = s.client.Heartbeat(ctx, effect.To.Address, heartbeat)
			answer.Failed = err != nil
			if err == nil && answer.Reply.Term == 0 {
				err = NotLeadError{}
			}
			s.outage.record(err, "to", string(effect.To.Name))
		}
	}
	_ = s.put(answer)
}

// trimHeld returns the grants held, without their partitions unless
// withPartitions is set.
func trimHeld(held []blgrant.Held, withPartitions bool) []blgrant.Held {
	if withPartitions {
		return held
	}
	short := make([]blgrant.Held, 0, len(held))
	for _, h := range held {
		h.HasSet, h.Set = false, blvalue.PartitionSet{}
		short = append(short, h)
	}
	return short
}

// peerCaller performs the lead duty's calls to other nodes.
type peerCaller struct {
	client *blgrpc.Client
	clock  bltimer.Clock
	self   blvalue.Host
	put    func(bllead.Message) error
}

func (c peerCaller) perform(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.AskStandby:
		c.askStandby(e)
	case bllead.Identify:
		c.identify(e)
	}
}

func (c peerCaller) askStandby(e bllead.AskStandby) {
	answered := bllead.StandbyAnswered{SentAt: c.clock.Now(), Asked: e.Standby.Incarnation}
	ctx, cancel := context.WithTimeout(context.Background(), standbyTimeout)
	defer cancel()
	answer, err := c.client.AskStandby(ctx, c.self, e)
	answered.Answer = answer
	answered.Failed = err != nil
	_ = c.put(answered)
}

func (c peerCaller) identify(e bllead.Identify) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	host, err := c.client.Identify(ctx, e.Host.Address)
	if err != nil {
		return
	}
	_ = c.put(bllead.Identified{Asked: e.Host.Incarnation, Incarnation: host.Incarnation})
}

// tokenBorrower borrows rate-limit tokens from the lead.
type tokenBorrower struct {
	client *blgrpc.Client
	clock  bltimer.Clock
	self   blvalue.Host
	lead   func() blvalue.Host
	put    func(bladmit.Message) error
}

func (b tokenBorrower) perform(effect bladmit.Borrow) {
	completed := bladmit.BorrowCompleted{SentAt: b.clock.Now(), Failed: true}
	lead := b.lead()
	if !lead.IsZero() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		answer, err := b.client.Borrow(ctx, lead.Address, b.self.Incarnation, effect.Needs)
		completed.Failed = err != nil || answer.Term == 0
		completed.Term = answer.Term
		completed.Loans = answer.Loans
	}
	_ = b.put(completed)
}

// delegateAsker asks delegates for tokens.
type delegateAsker struct {
	client *blgrpc.Client
	domain blvalue.DomainName
	put    func(bladmit.Message) error
	outage *outageLog
}

// askMargin is how much longer a node waits for the answer of a delegate than the
// delegate may wait for the lead.
const askMargin = 100 * time.Millisecond

func (d delegateAsker) perform(ask bladmit.AskDelegate) {
	ctx, cancel := context.WithTimeout(context.Background(), ask.Wait+askMargin)
	defer cancel()
	answer, err := d.client.Spend(ctx, ask, d.domain)
	d.outage.record(err, "delegate", string(ask.Delegate.Name))
	blduty.PutBlocking[bladmit.Message](d.put, bladmit.DelegateAnswered{
		Account: ask.Account, Delegate: ask.Delegate, Answer: answer, Failed: err != nil || answer.Unavailable,
	})
}

// nudgeSender asks nodes to send a heartbeat immediately.
type nudgeSender struct {
	client *blgrpc.Client
}

// nudgeTimeout is short because a node that misses a nudge sends its next
// heartbeat soon anyway.
const nudgeTimeout = 50 * time.Millisecond

func (s nudgeSender) perform(effect blassign.Nudge) {
	for _, node := range effect.Nodes {
		ctx, cancel := context.WithTimeout(context.Background(), nudgeTimeout)
		_ = s.client.Nudge(ctx, node.Address)
		cancel()
	}
}

// grantJob is either a grant to send to its upstream or announcements to record.
type grantJob struct {
	grant         *blgrant.Grant
	announcements []blupstream.ReceivedAnnouncement
}

// grantForwarder sends grants to the upstreams that check fences.
type grantForwarder struct {
	sender    *blupstream.GrantSender
	announced map[blvalue.UpstreamName]blupstream.ReceivedAnnouncement
}

func newGrantForwarder(clock bltimer.Clock) *grantForwarder {
	return &grantForwarder{
		sender: blupstream.NewGrantSender(clock), announced: map[blvalue.UpstreamName]blupstream.ReceivedAnnouncement{},
	}
}

func (f *grantForwarder) perform(job grantJob) {
	for _, received := range job.announcements {
		a := received.Announcement
		if last, ok := f.announced[a.Upstream.Name]; ok && last.Announcement.ClockMS == a.ClockMS {
			continue
		}
		f.announced[a.Upstream.Name] = received
	}
	if job.grant == nil {
		return
	}
	latest, ok := f.announced[job.grant.Upstream]
	upstream := latest.Announcement.Upstream
	if !ok || !upstream.ChecksFence || upstream.Incarnation != job.grant.Incarnation {
		return
	}
	_ = f.sender.Send(*job.grant, latest)
}

package blnode

import (
	"context"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
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
	// loads returns the loads of the local upstreams.
	loads func() []blassign.UpstreamLoad
}

// perform adds the grants held and the upstreams' loads to a heartbeat and sends
// it.
func (w heartbeatSender) perform(effect blmember.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	answer := blmember.HeartbeatAnswered{SentAt: effect.SentAt, From: effect.To, Failed: true}
	reply := blring.NewReply[[]blgrant.Held]()
	if w.grant(blgrant.ReportAsked{Reply: reply}) == nil {
		if held, err := reply.Await(ctx); err == nil {
			heartbeat := effect.Heartbeat
			heartbeat.Held = trimHeld(held, effect.ListHeld)
			heartbeat.Loads = w.loads()
			answer.Reply, err = w.client.Heartbeat(ctx, effect.To.Address, heartbeat)
			answer.Failed = err != nil
		}
	}
	_ = w.put(answer)
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

func (w peerCaller) perform(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.AskStandby:
		w.askStandby(e)
	case bllead.Identify:
		w.identify(e)
	}
}

func (w peerCaller) askStandby(e bllead.AskStandby) {
	answered := bllead.StandbyAnswered{SentAt: w.clock.Now(), Asked: e.Standby.Incarnation}
	ctx, cancel := context.WithTimeout(context.Background(), standbyTimeout)
	defer cancel()
	answer, err := w.client.AskStandby(ctx, w.self, e)
	answered.Answer = answer
	answered.Failed = err != nil
	_ = w.put(answered)
}

func (w peerCaller) identify(e bllead.Identify) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	host, err := w.client.Identify(ctx, e.Address)
	if err != nil {
		return
	}
	_ = w.put(bllead.Identified{Address: e.Address, Incarnation: host.Incarnation})
}

// tokenBorrower borrows rate-limit tokens from the lead.
type tokenBorrower struct {
	client *blgrpc.Client
	clock  bltimer.Clock
	self   blvalue.Host
	lead   func() blvalue.Host
	put    func(bladmit.Message) error
}

func (w tokenBorrower) perform(effect bladmit.Borrow) {
	lent := bladmit.BorrowCompleted{SentAt: w.clock.Now(), Failed: true}
	lead := w.lead()
	if !lead.IsZero() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		answer, err := w.client.Borrow(ctx, lead.Address, w.self.Incarnation, effect.Needs)
		lent.Failed = err != nil || answer.Term == 0
		lent.Term = answer.Term
		lent.Loans = answer.Loans
	}
	_ = w.put(lent)
}

// nudgeSender asks nodes to send a heartbeat immediately.
type nudgeSender struct {
	client *blgrpc.Client
}

// nudgeTimeout is short because a node that misses a nudge sends its next
// heartbeat soon anyway.
const nudgeTimeout = 50 * time.Millisecond

func (w nudgeSender) perform(effect blassign.Nudge) {
	for _, node := range effect.Nodes {
		ctx, cancel := context.WithTimeout(context.Background(), nudgeTimeout)
		_ = w.client.Nudge(ctx, node.Address)
		cancel()
	}
}

// grantJob is either a grant to send to its upstream or announcements to record.
type grantJob struct {
	grant         *blgrant.Grant
	announcements []blmember.Announcement
	at            bltimer.Instant
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

func (w *grantForwarder) perform(job grantJob) {
	for _, a := range job.announcements {
		if last, ok := w.announced[a.Upstream.Name]; ok && last.Announcement.ClockMS == a.ClockMS {
			continue
		}
		w.announced[a.Upstream.Name] = blupstream.ReceivedAnnouncement{Announcement: a, ReceivedAt: job.at}
	}
	if job.grant == nil {
		return
	}
	latest, ok := w.announced[job.grant.Upstream]
	upstream := latest.Announcement.Upstream
	if !ok || !upstream.ChecksFence || upstream.Incarnation != job.grant.Incarnation {
		return
	}
	_ = w.sender.Send(*job.grant, latest)
}

package blnode

import (
	"context"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
)

const heartbeatTimeout = 250 * time.Millisecond

// heartbeatSender sends heartbeats.
type heartbeatSender struct {
	client *blgrpc.Client
	grant  func(blgrant.Message) error
	put    func(blmember.Message) error
	outage *outageLog
	// loads returns the loads of the local upstreams.
	loads func() []blassign.UpstreamLoad
	// results returns the results of the local upstreams under roll-out orders, and the
	// directory by which the node holds upstreams back.
	results func() ([]blvalue.UpstreamResults, blassign.DirectoryVersion)
	// reclaiming reports whether the node takes back what an upstream may hold.
	reclaiming func() bool
}

// NotLeadError reports a heartbeat that was answered by a node that isn't lead.
type NotLeadError struct{}

// Error implements error.
func (NotLeadError) Error() string { return "the node isn't lead" }

// perform adds the grants held and the upstreams' loads and results to a heartbeat and
// sends it.
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
			results, directory := s.results()
			heartbeat.Results, answer.Reported = effect.Report.Select(results)
			if len(results) > 0 {
				// The lead takes a version for the word of this node that its upstreams
				// are held, so it must not be ahead of the results.
				heartbeat.Directory = directory
			}
			heartbeat.Reclaiming = s.reclaiming()
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

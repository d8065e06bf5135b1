package blnode

import (
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blupstream"
)

// grantJob is either a grant to send to its upstream or announcements to record.
type grantJob struct {
	grant         *blgrant.Grant
	announcements []blupstream.ReceivedAnnouncement
}

// grantForwarder sends grants to the upstreams that check fences.
type grantForwarder struct {
	sender    *blupstream.GrantSender
	announced map[blvalue.UpstreamName]blupstream.ReceivedAnnouncement
	// failed is called with the error of a grant that got no answer.
	failed func(upstream blvalue.UpstreamName, err error)
}

func newGrantForwarder(clock bltimer.Clock, failed func(blvalue.UpstreamName, error)) *grantForwarder {
	return &grantForwarder{
		sender: blupstream.NewGrantSender(clock), announced: map[blvalue.UpstreamName]blupstream.ReceivedAnnouncement{}, failed: failed,
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
	if err := f.sender.Send(*job.grant, latest); err != nil {
		f.failed(upstream.Name, err)
	}
}

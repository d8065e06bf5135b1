package blnode

import (
	"context"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
)

const (
	standbyTimeout  = 200 * time.Millisecond
	identifyTimeout = 200 * time.Millisecond
)

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

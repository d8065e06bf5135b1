package blproof_test

import (
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
)

func (n *node) deliverToReconciler(message blreconciler.Message) {
	var effects []blreconciler.Effect
	state := n.reconciler.WithSuspended(n.stoodStill()-n.stoodStillAtStart, n.clock())
	n.reconciler, effects = blreconciler.Decide(state, message, n.clock())
	for _, effect := range effects {
		switch e := effect.(type) {
		case blreconciler.Send:
			n.sendOrders(e)
		case blreconciler.Release:
			n.sendOrders(e.Send)
		case blreconciler.Reclaim:
			n.sendOrders(e.Send)
		case blreconciler.HoldingsChanged:
			n.deliverToGrant(e.Holdings)
		}
	}
}

// sendOrders sends orders to the upstream beside the node and delivers the answers once
// all are there.
func (n *node) sendOrders(send blreconciler.Send) {
	answers := make([]blreconciler.Answer, len(send.Orders))
	left := len(send.Orders)
	for i, order := range send.Orders {
		n.sendOrder(order, func(answer blreconciler.Answer) {
			answers[i] = answer
			left--
			if left == 0 {
				n.deliverToReconciler(blreconciler.OrdersAnswered{Incarnation: send.Upstream.Incarnation, Answers: answers})
			}
		})
	}
}

// sendOrder sends an order. It arrives within orderTimeout, and the upstream may carry it
// out later or leave it unanswered.
func (n *node) sendOrder(order blreconciler.Order, report func(blreconciler.Answer)) {
	sim, now := n.sim, n.clock()
	answer := blreconciler.Answer{Order: order, Result: blreconciler.ResultUnsent, SentAt: now}
	holdTime := sim.holdTime(order.Until.Sub(now))
	if order.Kind == blreconciler.KindGrant && holdTime <= 0 {
		n.scheduleStep(tickInterval, func() { report(answer) })
		return
	}
	answered, generation := false, n.generation
	finish := func(result blreconciler.Result) {
		if !answered {
			answered = true
			answer.Result = result
			report(answer)
		}
	}
	arrival, workTime := min(sim.delay(), orderTimeout), sim.delay()
	answerLost := sim.occurs(sim.lostAnswersPerThousand)
	n.onHost(arrival, func() {
		arrivedAt := n.server.clock()
		if order.Kind != blreconciler.KindGrant {
			n.server.release(order)
		}
		n.onHost(workTime, func() {
			result := n.server.carryOut(order, holdTime, arrivedAt)
			sim.checkUpstreams()
			if !answerLost {
				n.scheduleAnswer(generation, func() { finish(result) })
			}
		})
	})
	n.scheduleTimeout(orderTimeout, func() { finish(blreconciler.ResultUnknown) })
}

func (n *node) scheduleAnswer(generation int, step func()) {
	n.sim.schedule(0, func() { n.runStep(generation, step) })
}

// newReconciler returns the state of the reconciler of a process that has just started.
func (n *node) newReconciler() blreconciler.State {
	state := blreconciler.New(blreconciler.Timing{GrantTTL: grantTTL, ClockMargin: clockMargin}, n.clock())
	return state.WithAddress(n.host.Address).WithSuspendedBefore(n.stoodStillAtStart)
}

// tickReconciler delivers a tick with the time of the suspensions since the process
// started.
func (n *node) tickReconciler() {
	if n.server == nil {
		return
	}
	if n.reconciler.Busy() {
		n.deliverToReconciler(blreconciler.Tick{})
	}
	n.sim.checkUpstreams()
}

// grantChanged passes a grant on to the reconciler.
func (n *node) grantChanged(grant blgrant.Grant) {
	if n.server != nil {
		n.deliverToReconciler(blreconciler.GrantChanged{Grant: grant})
	}
}

// upstreamSeen passes the upstream that the node lists on to the reconciler.
func (n *node) upstreamSeen(seen blvalue.Upstream) {
	if n.server != nil {
		n.deliverToReconciler(blreconciler.UpstreamSeen{Upstream: seen, Address: n.host.Address, Partitions: partitions})
	}
}

package blhttp

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
)

// errOvertaken ends the answer of an attempt when another one came first.
var errOvertaken = errors.New("another attempt answered first")

// race lets the first of two attempts that begins an answer pass it on.
type race struct {
	sink bldeliver.Sink

	mu     sync.Mutex
	winner *contender
}

// contender is one attempt in a race. It is the sink of its attempt.
type contender struct {
	race    *race
	journey *journey
	answer  blroute.Answer
	cancel  context.CancelFunc
	done    chan finished
}

// finished is how a contender's attempt ended.
type finished struct {
	contender *contender
	delivery  bldeliver.Delivery
}

// Head implements bldeliver.Sink.
func (c *contender) Head(status int, header map[string][]string) error {
	c.race.mu.Lock()
	if c.race.winner == nil {
		c.race.winner = c
	}
	won := c.race.winner == c
	c.race.mu.Unlock()
	if !won {
		return errOvertaken
	}
	return c.race.sink.Head(status, header) //nolint:wrapcheck // passed on
}

// Write implements bldeliver.Sink.
func (c *contender) Write(chunk []byte) (int, error) {
	return c.race.sink.Write(chunk) //nolint:wrapcheck // passed on
}

// Trailer implements bldeliver.Sink.
func (c *contender) Trailer(trailer map[string][]string) error {
	return c.race.sink.Trailer(trailer) //nolint:wrapcheck // passed on
}

func (c *contender) run(ctx context.Context) {
	c.done <- finished{contender: c, delivery: c.journey.deliver(ctx, c.answer, c)}
}

// hedged delivers the order, and delivers it to a second upstream as well when
// the first one takes unusually long. The one that answers first is passed on;
// the other is cancelled.
func (j *journey) hedged(ctx context.Context, answer blroute.Answer) bldeliver.Delivery {
	r := &race{sink: j.sink}
	done := make(chan finished, 2)
	first := j.contend(ctx, r, answer, done)
	timer := time.NewTimer(answer.Target.HedgeAfter)
	defer timer.Stop()
	select {
	case end := <-done:
		first.cancel()
		return end.delivery
	case <-timer.C:
	}
	second := j.second(ctx, r, answer, done)
	if second == nil {
		end := <-done
		first.cancel()
		return end.delivery
	}
	return r.settle(first, second, done)
}

func (j *journey) contend(ctx context.Context, r *race, answer blroute.Answer, done chan finished) *contender {
	ctx, cancel := context.WithCancel(ctx)
	c := &contender{race: r, journey: j, answer: answer, cancel: cancel, done: done}
	go c.run(ctx)
	return c
}

// second starts an attempt at another upstream, if the budget allows it.
func (j *journey) second(ctx context.Context, r *race, answer blroute.Answer, done chan finished) *contender {
	next, err := j.find(ctx, answer, blroute.Find{Hedge: true})
	if err != nil || next.Refusal != nil {
		return nil
	}
	if next.Target.Upstream == answer.Target.Upstream {
		_ = j.front.route(blroute.Observed{Upstream: next.Target.Upstream, Unused: true})
		return nil
	}
	return j.contend(ctx, r, next, done)
}

// settle waits for the attempt that answers first, cancels the other and waits
// for its end, so that nothing of the request is left behind.
func (r *race) settle(first, second *contender, done chan finished) bldeliver.Delivery {
	end := <-done
	if end.delivery.Refusal == nil || end.delivery.Started && r.won(end.contender) {
		first.cancel()
		second.cancel()
		<-done
		return end.delivery
	}
	last := <-done
	first.cancel()
	second.cancel()
	return last.delivery
}

func (r *race) won(c *contender) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == c
}

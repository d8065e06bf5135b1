package blhttp

import (
	"context"
	"errors"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blserver"
)

func (a *activeRequest) admit(ctx context.Context) (blroute.Answer, error) {
	defer enter(&a.handler.stages.admission)()
	reply := blring.NewReply[blroute.Answer]()
	err := a.handler.admit(bladmit.Admit{Request: a.call.Request, Path: a.call.Path, Reply: reply})
	if err != nil {
		return blroute.Answer{}, err
	}
	return a.await(ctx, reply)
}

// lateAnswerTimeout is how long a request that has ended still waits for the
// duties' answer, which may assign it a target. No duty holds a request longer.
const lateAnswerTimeout = 3 * time.Second

// await waits for the duties' answer. If the request ends first, await releases
// the target that the late answer may still assign.
func (a *activeRequest) await(ctx context.Context, reply blring.Reply[blroute.Answer]) (blroute.Answer, error) {
	answer, err := reply.Await(ctx)
	if err != nil {
		go lateAnswer{handler: a.handler, reply: reply}.run(context.WithoutCancel(ctx))
	}
	return answer, err //nolint:wrapcheck // read by refusalForError
}

// lateAnswer is an answer of the duties to a request that has ended.
type lateAnswer struct {
	handler *Handler
	reply   blring.Reply[blroute.Answer]
}

func (l lateAnswer) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lateAnswerTimeout)
	defer cancel()
	if unused, err := l.reply.Await(ctx); err == nil && unused.Target.Upstream != "" {
		_ = l.handler.route(blroute.AttemptCompleted{Upstream: unused.Target.Upstream, Unused: true})
	}
}

// findTarget asks the routing duty for the target of another attempt, avoiding
// the upstream of the last one. The message says whether the attempt is a retry
// or a hedge.
func (a *activeRequest) findTarget(ctx context.Context, previous blroute.Answer, message blroute.Find) (blroute.Answer, error) {
	defer enter(&a.handler.stages.target)()
	reply := blring.NewReply[blroute.Answer]()
	message.Request, message.Route, message.Account = a.call.Request.WithService(previous.Service), previous.Route, previous.Account
	message.Avoid, message.Reply = previous.Target.Upstream, reply
	if err := a.handler.route(message); err != nil {
		return blroute.Answer{}, err
	}
	return a.await(ctx, reply)
}

// refusalForError returns the refusal of a request whose message to a duty was
// not accepted, or that ended while it waited for the duty's answer. In both
// cases the request did not run.
func refusalForError(ctx context.Context, err error) *blvalue.Refusal {
	if errors.Is(context.Cause(ctx), blserver.ErrEnding) {
		return blvalue.NotRun(blvalue.ReasonLeaving, "this node ends")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return blvalue.NotRun(blvalue.ReasonTimeout, "the request ended before it was admitted")
	}
	if ctx.Err() != nil {
		return blvalue.NotRun(blvalue.ReasonCancelled, "the caller went away")
	}
	return blvalue.NotRun(blvalue.ReasonOverload, err.Error())
}

// sleep waits for the given time. It returns false if the request ended first.
func (a *activeRequest) sleep(ctx context.Context, wait time.Duration) bool {
	defer enter(&a.handler.stages.backoff)()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-a.handler.ending.Refusing():
		return false
	}
}

// mayRetry reports whether there is time for another attempt before the node ends.
func (a *activeRequest) mayRetry() bool {
	select {
	case <-a.handler.ending.Refusing():
		return false
	default:
		return true
	}
}

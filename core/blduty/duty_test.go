package blduty_test

import (
	"errors"
	"fmt"
	"testing"

	"bergamotlead/core/blduty"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

type counter struct {
	total int
}

type addMessage struct {
	amount int
	reply  blring.Reply[int]
}

type replyEffect struct {
	reply blring.Reply[int]
	total int
}

func addAmount(state counter, message addMessage, _ bltimer.Instant) (counter, []replyEffect) {
	next := counter{total: state.total + message.amount}
	return next, []replyEffect{{reply: message.reply, total: next.total}}
}

func putReply(effect replyEffect) {
	effect.reply.Put(effect.total)
}

func ExampleDuty() {
	duty := blduty.New("counter", 8, counter{}, addAmount, putReply, bltimer.NewManual())
	duty.Start()
	_ = duty.Put(addMessage{amount: 2, reply: blring.NewReply[int]()})
	_ = duty.Put(addMessage{amount: 3, reply: blring.NewReply[int]()})
	duty.Stop()
	fmt.Println(duty.View().total)
	// Output: 5
}

func TestDutyRejectsMessageWhenRingIsFull(t *testing.T) {
	duty := blduty.New("counter", 1, counter{}, addAmount, putReply, bltimer.NewManual())
	if err := duty.Put(addMessage{}); err != nil {
		t.Fatalf("first Put: got %v, want nil", err)
	}
	var full blring.FullError
	if err := duty.Put(addMessage{}); !errors.As(err, &full) {
		t.Errorf("second Put: got %v, want FullError", err)
	}
}

func TestWorkerExecutesQueuedJobsBeforeStop(t *testing.T) {
	done := 0
	worker := blduty.NewWorker("adder", 8, func(amount int) { done += amount })
	for range 5 {
		if err := worker.Put(1); err != nil {
			t.Fatalf("Put: got %v, want nil", err)
		}
	}
	worker.Start()
	worker.Stop()
	if got, want := done, 5; got != want {
		t.Errorf("jobs done: got %d, want %d", got, want)
	}
}

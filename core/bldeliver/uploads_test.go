package bldeliver_test

import (
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
)

const uploadWait = time.Minute

// warmUp lets the upstream have all its slots.
func (n *node) warmUp() {
	for range 100 {
		ticket := n.acquire("warm", blconfig.PriorityNormal, uploadWait)
		n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered, Latency: service})
	}
}

// ended returns the accounts of the uploads that the last message ended, and releases their
// slots as their requests do.
func (n *node) ended() []blvalue.AccountName {
	var accounts []blvalue.AccountName
	for _, effect := range n.effects {
		if effect.Upload.Cancel != nil {
			accounts = append(accounts, effect.Upload.Account)
			effect.Upload.Cancel()
		}
	}
	return accounts
}

// upload requests a slot for an upload. Its cancellation releases the slot.
func (n *node) upload(account string) bldeliver.Ticket {
	ticket := n.ticket + 1
	n.cancel = func() {
		n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultUnused})
	}
	defer func() { n.cancel = nil }()
	return n.acquire(account, blconfig.PriorityNormal, uploadWait)
}

// TestStalledUploadsMakeRoom replays a crowd of uploads that stop short of their end: they
// held all slots, and complete requests were refused for as long as the crowd liked.
func TestStalledUploadsMakeRoom(t *testing.T) {
	const slots, queue = 6, 8
	n := newNode(queue)
	n.warmUp()
	crowd := make([]bldeliver.Ticket, 0, slots+queue)
	for range slots + queue {
		crowd = append(crowd, n.upload("crowd"))
	}
	if got := n.running(); got != slots {
		t.Fatalf("running: got %d, want %d", got, slots)
	}
	ordinary := n.acquire("ordinary", blconfig.PriorityNormal, uploadWait)
	if n.answered(ordinary) {
		t.Error("request of another account in a full queue: got an answer, want it to wait")
	}
	n.send(bldeliver.UploadStalled{Ticket: crowd[0], Stalled: true})
	if got := n.ended(); len(got) != 1 || got[0] != "crowd" {
		t.Errorf("ended uploads: got %v, want one of the crowd", got)
	}
	if answer, ok := n.replies[ordinary].Poll(); !ok || answer.Refusal != nil {
		t.Errorf("request of another account: got %+v, %t, want a slot", answer, ok)
	}
}

// TestStalledUploadKeepsAnUnwantedSlot guards against a slow upload that ends although nobody
// waits for its slot, or although it has gone on.
func TestStalledUploadKeepsAnUnwantedSlot(t *testing.T) {
	const slots = 6
	n := newNode(slots)
	n.warmUp()
	uploads := make([]bldeliver.Ticket, 0, slots)
	for range slots {
		uploads = append(uploads, n.upload("slow"))
	}
	for _, ticket := range uploads {
		n.send(bldeliver.UploadStalled{Ticket: ticket, Stalled: true})
		if got := n.ended(); len(got) > 0 {
			t.Errorf("ended uploads without others that wait: got %v, want none", got)
		}
	}
	for _, ticket := range uploads {
		n.send(bldeliver.UploadStalled{Ticket: ticket})
	}
	n.acquire("other", blconfig.PriorityNormal, uploadWait)
	if got := n.ended(); len(got) > 0 {
		t.Errorf("ended uploads that have gone on: got %v, want none", got)
	}
}

// TestStalledUploadOfTheBusiestAccountEnds guards against the only upload of an account that
// ends for those of another.
func TestStalledUploadOfTheBusiestAccountEnds(t *testing.T) {
	const slots = 6
	n := newNode(slots)
	n.warmUp()
	uploads := make([]bldeliver.Ticket, 0, slots)
	uploads = append(uploads, n.upload("single"))
	for range slots - 1 {
		uploads = append(uploads, n.upload("crowd"))
	}
	for _, ticket := range uploads {
		n.send(bldeliver.UploadStalled{Ticket: ticket, Stalled: true})
	}
	n.acquire("other", blconfig.PriorityNormal, uploadWait)
	if got := n.ended(); len(got) != 1 || got[0] != "crowd" {
		t.Errorf("ended uploads: got %v, want one of the crowd", got)
	}
}

// TestFullQueueIsShared guards against an account that fills the queue with requests, at the
// expense of another, and against one that displaces more urgent ones.
func TestFullQueueIsShared(t *testing.T) {
	const slots, queue = 6, 4
	cases := []struct {
		name     string
		waiting  []string
		priority blconfig.Priority
		taken    bool
	}{
		{"all of one account", []string{"a", "a", "a", "a"}, blconfig.PriorityNormal, true},
		{"each of an account", []string{"a", "b", "c", "d"}, blconfig.PriorityNormal, false},
		{"more urgent ones", []string{"a", "a", "a", "a"}, blconfig.PriorityUrgent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(queue)
			n.warmUp()
			for range slots {
				n.acquire("a", blconfig.PriorityNormal, uploadWait)
			}
			for _, account := range c.waiting {
				n.acquire(account, c.priority, uploadWait)
			}
			ticket := n.acquire("other", blconfig.PriorityNormal, uploadWait)
			if got := !n.answered(ticket); got != c.taken {
				t.Errorf("request in a full queue: got %t, want %t", got, c.taken)
			}
			if upstream, _ := n.state.Upstreams().Get("pot_1"); upstream.Waiting() != queue {
				t.Errorf("waiting: got %d, want %d", upstream.Waiting(), queue)
			}
		})
	}
}

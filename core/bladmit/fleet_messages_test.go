package bladmit_test

import (
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func (f *quotaFleet) request(account int, n *fleetNode) {
	f.asked++
	name := accountName(account)
	reply := blring.NewReply[blroute.Answer]()
	f.pending[reply] = &fleetRequest{account: account, at: f.now}
	if f.reference[account].take(f.plan.Accounts[name], f.now) {
		f.allowed[account]++
	}
	f.send(n, bladmit.Admit{
		Request: blvalue.Request{
			Service: "pot", Method: "GET", KeyDigest: string(name), Timeout: 5 * time.Second,
		},
		Path: "total", Reply: reply,
	})
}

func (f *quotaFleet) tick(n *fleetNode) {
	if n.state.Busy(f.instant()) {
		f.send(n, bladmit.Tick{})
	}
	f.schedule(f.now+fleetTick, func() { f.tick(n) })
}

// deliver sends a message to a node after a delay, unless the node has been
// restarted by then.
func (f *quotaFleet) deliver(n *fleetNode, after time.Duration, message func() bladmit.Message) {
	generation := n.generation
	f.schedule(f.now+after, func() {
		if n.generation == generation {
			f.send(n, message())
		}
	})
}

func (f *quotaFleet) send(n *fleetNode, message bladmit.Message) {
	var effects []bladmit.Effect
	n.state, effects = bladmit.Decide(n.state, message, f.instant())
	for _, effect := range effects {
		switch e := effect.(type) {
		case bladmit.FindTarget:
			request := f.pending[e.Find.Reply]
			request.answered = true
			account := request.account
			f.admitted[account] = append(f.admitted[account], f.now)
		case bladmit.Refuse:
			f.pending[e.Reply].answered = true
			f.refused++
		case bladmit.Borrow:
			f.borrow(n, e)
		case bladmit.AskDelegate:
			f.ask(n, e)
		case bladmit.AnswerSpend:
			f.spends[e.Reply](e.Answer)
		}
	}
}

// ask takes a node's request for tokens to the account's delegate.
func (f *quotaFleet) ask(n *fleetNode, e bladmit.AskDelegate) {
	f.asks++
	var delegate *fleetNode
	for _, other := range f.nodes {
		if other.name == string(e.Delegate.Name) {
			delegate = other
		}
	}
	answered := false
	answer := func(answer bladmit.SpendAnswer, failed bool) {
		if answered {
			return
		}
		answered = true
		f.deliver(n, oneWay, func() bladmit.Message {
			return bladmit.DelegateAnswered{Account: e.Account, Delegate: e.Delegate, Answer: answer, Failed: failed}
		})
	}
	f.schedule(f.now+e.Wait+askMargin, func() { answer(bladmit.SpendAnswer{}, true) })
	reply := blring.NewReply[bladmit.SpendAnswer]()
	f.spends[reply] = func(a bladmit.SpendAnswer) { answer(a, a.Unavailable) }
	if delegate.down || (delegate.domain == f.cut) != (n.domain == f.cut) {
		return
	}
	f.deliver(delegate, oneWay, func() bladmit.Message {
		return bladmit.Spend{Account: e.Account, Tokens: e.Tokens, Domain: n.domain, Wait: e.Wait, Reply: reply}
	})
}

// borrow takes a node's request for tokens to the lead, which answers one at a
// time.
func (f *quotaFleet) borrow(n *fleetNode, e bladmit.Borrow) {
	sentAt := f.instant()
	node := n.incarnation()
	f.schedule(f.now+oneWay, func() {
		if !f.leadUp || n.domain == f.cut {
			f.deliver(n, callTimeout, func() bladmit.Message { return bladmit.BorrowCompleted{SentAt: sentAt, Failed: true} })
			return
		}
		f.exchanges++
		f.leadFree = max(f.leadFree, f.now) + leadWork
		f.schedule(f.leadFree, func() {
			next, effects := blquota.Decide(f.lead, blquota.Borrow{Node: node, Needs: e.Needs}, f.instant())
			f.lead = next
			answer := effects[0].Answer
			f.deliver(n, oneWay, func() bladmit.Message {
				return bladmit.BorrowCompleted{SentAt: sentAt, Term: answer.Term, Loans: answer.Loans, Failed: answer.Term == 0}
			})
		})
	})
}

package bladmit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// delegateRate is the rate limit in requests per second for which an account
	// has one delegate. An account with a higher limit has several.
	delegateRate = 40
	// burstPerNode is the number of tokens of an account's burst per node from which
	// all nodes borrow themselves, since their rounded loans fit into the burst.
	burstPerNode = 4
	// minDelegateFleet is the number of nodes from which accounts have delegates.
	minDelegateFleet = 8
	// unreachableTime is how long a node doesn't ask a delegate that failed to
	// answer.
	unreachableTime = 2 * time.Second
)

// fleet is the immutable list of the nodes that can be the delegates of accounts:
// the nodes that borrow an account's tokens from the lead and spend them on behalf
// of the nodes that see few of its requests.
type fleet struct {
	self  uint64
	nodes []fleetNode
	// domains is the number of failure domains with nodes.
	domains int
	// unreachable tells until when a node is not asked.
	unreachable bltable.Table[blvalue.HostName, bltimer.Instant]
}

// fleetNode is a node and the hash of its name.
type fleetNode struct {
	host blvalue.Host
	hash uint64
}

// withNodes returns the fleet with the given nodes.
func (f fleet) withNodes(self blvalue.HostName, hosts []blvalue.Host) fleet {
	f.self = xxhash.Sum64String(string(self))
	f.nodes = make([]fleetNode, 0, len(hosts))
	domains := map[blvalue.DomainName]bool{}
	for _, host := range hosts {
		domains[host.Domain] = true
		f.nodes = append(f.nodes, fleetNode{host: host, hash: xxhash.Sum64String(string(host.Name))})
	}
	f.domains = len(domains)
	return f
}

// withUnreachable returns the fleet after a node failed to answer.
func (f fleet) withUnreachable(name blvalue.HostName, now bltimer.Instant) fleet {
	for other, until := range f.unreachable.All() {
		if !now.Before(until) {
			f.unreachable = f.unreachable.Without(other)
		}
	}
	f.unreachable = f.unreachable.With(name, now.Add(unreachableTime))
	return f
}

// delegate returns the reachable node that this node asks for the account's
// tokens.
func (f fleet) delegate(account blconfig.Account, now bltimer.Instant) (blvalue.Host, bool) {
	return f.choose(f.slotKey(account, f.self), func(host blvalue.Host) bool {
		until, ok := f.unreachable.Get(host.Name)
		return !ok || !now.Before(until)
	})
}

// isDelegate reports whether the named node is a delegate of the account as long as
// all nodes are reachable.
func (f fleet) isDelegate(account blconfig.Account, name blvalue.HostName) bool {
	for slot := range delegateCount(account) {
		host, ok := f.choose(accountKey(account)+slot, func(blvalue.Host) bool { return true })
		if ok && host.Name == name {
			return true
		}
	}
	return false
}

// borrowsEverywhere reports whether all nodes borrow the account's tokens from the
// lead themselves, because their loans fit into the burst even when rounded up.
func (f fleet) borrowsEverywhere(account blconfig.Account) bool {
	return len(f.nodes) < minDelegateFleet || int64(len(f.nodes))*burstPerNode <= account.Burst
}

func accountKey(account blconfig.Account) uint64 {
	return xxhash.Sum64String(string(account.Name))
}

// slotKey returns the key of the delegate slot of the account that a node uses.
func (f fleet) slotKey(account blconfig.Account, node uint64) uint64 {
	key := accountKey(account)
	return key + blvalue.Mix(node^key)%delegateCount(account)
}

// choose returns the eligible node for a key by rendezvous hashing: when a node is
// added or lost, only the keys that it gains or had change their node.
func (f fleet) choose(key uint64, eligible func(blvalue.Host) bool) (blvalue.Host, bool) {
	var best blvalue.Host
	var bestScore uint64
	key = blvalue.Mix(key)
	for _, node := range f.nodes {
		score := blvalue.Mix(node.hash ^ key)
		if (best.IsZero() || score > bestScore) && eligible(node.host) {
			best, bestScore = node.host, score
		}
	}
	return best, !best.IsZero()
}

// delegateCount returns the number of delegates of an account.
func delegateCount(account blconfig.Account) uint64 {
	return uint64(max((account.Rate+delegateRate-1)/delegateRate, 1))
}

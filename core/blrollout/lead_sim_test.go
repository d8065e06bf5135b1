package blrollout_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
)

// mutation disables a rule, to verify that the model detects what follows from it.
type mutation struct {
	// assumesWritten reports writes of unknown outcome as written.
	assumesWritten bool
	// confirmsAtOnce reports each step as confirmed by all nodes.
	confirmsAtOnce bool
	// hidesPartitions reports no partition in use.
	hidesPartitions bool
	// hidesRunning reports no running request.
	hidesRunning bool
	// forgetsReserved has leads issue allowances without a reservation in the store.
	forgetsReserved bool
	// ignoresNodeRun has nodes use allowances for an earlier run of them.
	ignoresNodeRun bool
}

// simLead is a process that leads in one term, with what its ownership duty does.
type simLead struct {
	sim       *fleetSim
	term      uint64
	state     blrollout.State
	since     time.Duration
	until     time.Duration
	admission blassign.AdmissionChanged
	// knows, hosts, steps and beatAt are what nodes have reported.
	knows  map[int]bool
	hosts  map[int]blvalue.Host
	steps  map[int]uint64
	beatAt map[int]time.Duration
	sentAt map[int]time.Duration
	// lastResults is the latest report of each node.
	lastResults map[int][]blvalue.UpstreamResults
	nextTickAt  time.Duration
}

// heldAtAnyNode returns what the directory of the node holds that becomes lead. It goes on
// with that until its first admission.
func (sim *fleetSim) heldAtAnyNode() []blvalue.Incarnation {
	for _, n := range sim.nodes {
		if !n.stopped && n.fresh(sim.now) {
			return slices.Sorted(maps.Keys(n.held))
		}
	}
	return nil
}

// depose ends the authority of the lead. Its calls to the store go on.
func (sim *fleetSim) depose() {
	for _, l := range sim.leads {
		if l.holds() {
			l.until = sim.now
			l.send(blrollout.AuthorityChanged{})
		}
	}
}

// elect makes another process lead.
func (sim *fleetSim) elect() {
	sim.depose()
	l := &simLead{
		sim: sim, term: uint64(len(sim.leads) + 1), state: blrollout.New(), since: sim.now, until: 1 << 60,
		knows: map[int]bool{}, hosts: map[int]blvalue.Host{}, steps: map[int]uint64{}, beatAt: map[int]time.Duration{},
		sentAt: map[int]time.Duration{}, lastResults: map[int][]blvalue.UpstreamResults{},
	}
	l.admission.Held = sim.heldAtAnyNode()
	sim.leads = append(sim.leads, l)
	l.configure()
	l.authority()
}

func (l *simLead) holds() bool { return l.sim.now < l.until }

func (l *simLead) authority() {
	l.send(blrollout.AuthorityChanged{Authority: bllead.Authority{
		Term: l.term, Until: l.sim.instant().Add(l.until - l.sim.now), MayChange: true, Era: l.sim.store.era,
	}})
}

func (l *simLead) configure() {
	l.send(blrollout.ConfigSeen{Accepted: blconfig.Accepted{Revision: l.sim.config, Plan: l.sim.plan()}})
}

func (l *simLead) send(m blrollout.Message) {
	var effects []blrollout.Effect
	l.state, effects = blrollout.Decide(l.state, m, l.sim.instant())
	for _, effect := range effects {
		l.apply(effect)
	}
}

func (l *simLead) apply(effect blrollout.Effect) {
	switch e := effect.(type) {
	case blrollout.LoadRecord:
		l.sim.store.load(l, e)
	case blrollout.WriteRecord:
		l.sim.store.write(l, e)
	case blrollout.WriteStatus:
		l.sim.store.writeStatus(l, e)
	case blrollout.Publish:
		l.admission = e.Admission
	case blrollout.Decided:
		l.sim.proven = l.sim.proven || e.Decision == "passed"
		l.sim.decided = append(l.sim.decided, fmt.Sprintf("%v term %d: %s %s", l.sim.now, l.term, e.Decision, e.Reason))
	}
}

func (l *simLead) tick() {
	if !l.holds() || l.sim.now < l.nextTickAt {
		return
	}
	l.nextTickAt = l.sim.now + leadTick
	view := l.sim.view(l)
	if l.sim.mutation.hidesPartitions {
		for i := range view.Upstreams {
			view.Upstreams[i].Partitions = 0
		}
	}
	l.send(blrollout.ViewSeen{View: view})
	if l.state.Busy() {
		l.send(blrollout.Tick{})
	}
}

func (l *simLead) isHeld(n *simNode) bool {
	for _, held := range l.admission.Held {
		if held == n.upstream.Incarnation {
			return true
		}
	}
	return false
}

// heartbeat handles the report of a node and answers it.
func (l *simLead) heartbeat(report simReport) {
	sim, n := l.sim, report.node
	if !l.holds() || report.sentAt < l.sentAt[n.index] || n.term > l.term {
		return
	}
	l.knows[n.index], l.hosts[n.index], l.beatAt[n.index], l.sentAt[n.index] = true, report.host, sim.now, report.sentAt
	l.steps[n.index] = 0
	if report.term == l.term {
		l.steps[n.index] = report.step
	}
	if sim.mutation.hidesRunning {
		for i := range report.results {
			report.results[i].Running = 0
		}
	}
	l.lastResults[n.index] = report.results
	l.send(blrollout.ResultsSeen{Reported: l.reported(n, report.results)})
	if sim.random.IntN(1000) < sim.lossPerThousand {
		return
	}
	admission, listed := l.admission, maps.Clone(l.knows)
	if sim.maxDelay == 0 {
		l.answer(report, admission, listed)
		return
	}
	sim.after(sim.delay(), func() { l.answer(report, admission, listed) })
}

func (l *simLead) reported(n *simNode, results []blvalue.UpstreamResults) blassign.ResultsReported {
	return blassign.ResultsReported{Term: l.term, Node: l.hosts[n.index], Results: results}
}

// answer applies the answer to a heartbeat at its node.
func (l *simLead) answer(report simReport, admission blassign.AdmissionChanged, listed map[int]bool) {
	n := report.node
	if n.host.Incarnation != report.host.Incarnation || n.term > l.term || n.term == l.term && n.step > admission.Step {
		return
	}
	n.answeredAt = max(n.answeredAt, report.sentAt)
	n.term, n.step, n.listed, n.held = l.term, admission.Step, listed, map[blvalue.Incarnation]bool{}
	for _, held := range admission.Held {
		n.held[held] = true
	}
	for _, allowance := range admission.Allowances {
		ownRun := allowance.Node == n.host.Incarnation || l.sim.mutation.ignoresNodeRun
		if allowance.Incarnation == n.upstream.Incarnation && ownRun && allowance.Order == n.orderRev {
			n.allowance, n.allowedUntil = allowance, report.sentAt+allowance.TTL
		}
	}
}

// confirmed returns the latest step that all nodes have that may still send requests.
func (l *simLead) confirmed() uint64 {
	if l.sim.mutation.confirmsAtOnce {
		return l.admission.Step
	}
	if l.sim.now < l.since+l.sim.freshness+simTick {
		for _, n := range l.sim.nodes {
			if !l.knows[n.index] && !n.stopped && n.fresh(l.sim.now) {
				return 0
			}
		}
	}
	step := l.admission.Step
	for index, at := range l.beatAt {
		if l.sim.now < at+l.sim.freshness+simTick {
			step = min(step, l.steps[index])
		}
	}
	return step
}

// simStore is the platform's store with one record and one status.
type simStore struct {
	sim     *fleetSim
	era     blplatform.Era
	number  uint64
	record  blrollout.Record
	status  blrollout.Status
	finals  []string
	finalAt time.Duration
	down    bool
	writes  int
	maxKept uint64
	// unknownPerThousand is how often a write's answer is lost, and latePerThousand how
	// often a write without an answer takes effect late.
	unknownPerThousand int
	latePerThousand    int
}

const storeDelay = 30 * time.Millisecond

func (st *simStore) revision() uint64 { return blplatform.NewRevision(st.era, st.number) }

func (st *simStore) load(l *simLead, e blrollout.LoadRecord) {
	st.sim.after(storeDelay, func() {
		l.send(blrollout.RecordLoaded{Term: e.Term, Service: e.Service, Record: st.read(), Failed: st.down})
	})
}

func (st *simStore) read() blrollout.Record {
	record := st.record
	if st.sim.mutation.forgetsReserved {
		record.Reserved = 0
	}
	if record.Revision != 0 {
		record.Revision = blplatform.NewRevision(st.era, blplatform.RevisionNumber(record.Revision))
	}
	return record
}

func (st *simStore) write(l *simLead, e blrollout.WriteRecord) {
	st.writes++
	answer := func(outcome blplatform.Outcome) {
		if outcome == blplatform.Unresolved && st.sim.mutation.assumesWritten {
			outcome = blplatform.Written
		}
		l.send(blrollout.RecordWritten{Term: l.term, Service: e.Service, WriteID: e.Record.WriteID, Outcome: outcome, Current: st.read()})
	}
	delay := storeDelay
	switch {
	case st.sim.random.IntN(1000) < st.latePerThousand:
		// The write arrives long after its sender has given up waiting.
		st.sim.after(storeDelay, func() { answer(blplatform.Unresolved) })
		st.sim.after(time.Duration(st.sim.random.IntN(4000))*time.Millisecond, func() { st.swap(l, e) })
		return
	case st.sim.random.IntN(1000) < st.unknownPerThousand:
		applied := st.sim.random.IntN(2) == 0
		st.sim.after(delay, func() {
			if applied && !st.down {
				st.swap(l, e)
			}
			answer(blplatform.Unresolved)
		})
		return
	}
	st.sim.after(delay, func() {
		if st.down {
			answer(blplatform.Unresolved)
			return
		}
		answer(st.swap(l, e))
	})
}

// swap carries out a write of the record.
func (st *simStore) swap(_ *simLead, e blrollout.WriteRecord) blplatform.Outcome {
	if st.record.WriteID == e.Record.WriteID && e.Record.WriteID != "" {
		return blplatform.Written
	}
	if e.Base != st.read().Revision {
		return blplatform.Conflicted
	}
	st.number++
	st.record = e.Record
	st.record.Revision = st.revision()
	st.maxKept = max(st.maxKept, e.Record.Reserved)
	return blplatform.Written
}

func (st *simStore) writeStatus(l *simLead, e blrollout.WriteStatus) {
	st.sim.after(storeDelay, func() {
		if !st.down {
			st.setStatus(e.Status)
		}
		l.send(blrollout.StatusWritten{Term: l.term, Status: e.Status, Failed: st.down})
	})
}

func (st *simStore) setStatus(status blrollout.Status) {
	if st.status != status && status.Phase != blrollout.PhaseRunning {
		st.finalAt = st.sim.now
		st.finals = append(st.finals, fmt.Sprintf("%s %s", status.Target, status.Phase))
		if status.Phase == blrollout.PhaseCompleted {
			st.sim.checkCompletion(status.Target)
		}
	}
	st.status = status
}

// storeCopy is what a store is restored from.
type storeCopy struct {
	record blrollout.Record
	status blrollout.Status
	number uint64
}

func (st *simStore) copy() storeCopy {
	return storeCopy{record: st.record, status: st.status, number: st.number}
}

// restore brings back a copy of an earlier time. Revisions after it are assigned again.
func (st *simStore) restore(c storeCopy) {
	st.era++
	st.record, st.status, st.number = c.record, c.status, c.number
	st.sim.order.Revision = blplatform.NewRevision(st.era, blplatform.RevisionNumber(st.sim.order.Revision))
	st.sim.configChanged()
	for _, l := range st.sim.leads {
		if l.holds() {
			l.authority()
		}
	}
	for _, n := range st.sim.nodes {
		if n.orderRev != 0 {
			n.orderRev = st.sim.order.Revision
		}
	}
}

// checkCompletion records what makes it too early for a completed status.
func (sim *fleetSim) checkCompletion(target string) {
	for _, n := range sim.nodes {
		if n.upstream.Version == target || n.stopped {
			continue
		}
		if n.running > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s runs %d requests", sim.now, n.upstream.Name, n.running))
		}
		if sim.partitionsOf(n) > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s has partitions", sim.now, n.upstream.Name))
		}
		for _, entry := range sim.nodes {
			if !entry.stopped && entry.fresh(sim.now) && entry.listed[n.index] && !entry.held[n.upstream.Incarnation] {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s may send to %s", sim.now, entry.host.Name, n.upstream.Name))
			}
		}
	}
}

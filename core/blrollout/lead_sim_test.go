package blrollout_test

import (
	"fmt"
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
	knows         map[int]bool
	hosts         map[int]blvalue.Host
	steps         map[int]uint64
	beatAt        map[int]time.Duration
	nextTickAt    time.Duration
	lastViewOrder string
}

// elect makes another process lead. The earlier lead goes on for overlap, but nodes no
// longer report to it.
func (sim *fleetSim) elect(overlap time.Duration) *simLead {
	for _, l := range sim.leads {
		l.until = min(l.until, sim.now+overlap)
	}
	l := &simLead{
		sim: sim, term: uint64(len(sim.leads) + 1), state: blrollout.New(), since: sim.now, until: 1 << 60,
		knows: map[int]bool{}, hosts: map[int]blvalue.Host{}, steps: map[int]uint64{}, beatAt: map[int]time.Duration{},
	}
	sim.leads = append(sim.leads, l)
	l.configure()
	l.authority()
	return l
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
func (l *simLead) heartbeat(n *simNode) {
	sim := l.sim
	if n.term > l.term {
		return
	}
	l.knows[n.index], l.hosts[n.index], l.beatAt[n.index] = true, n.host, sim.now
	l.steps[n.index] = 0
	if n.term == l.term {
		l.steps[n.index] = n.step
	}
	results := sim.results(n)
	if sim.mutation.hidesRunning {
		for i := range results {
			results[i].Running = 0
		}
	}
	l.send(blrollout.ResultsSeen{Reported: blassign.ResultsReported{Term: l.term, Node: n.host, Results: results}})
	if sim.random.IntN(1000) < sim.lossPerThousand {
		return
	}
	n.answeredAt = sim.now
	if l.admission.Step == 0 {
		return
	}
	n.term, n.step, n.held = l.term, l.admission.Step, map[blvalue.Incarnation]bool{}
	for _, held := range l.admission.Held {
		n.held[held] = true
	}
	for _, allowance := range l.admission.Allowances {
		if allowance.Incarnation == n.upstream.Incarnation && allowance.Node == n.host.Incarnation && allowance.Order == n.orderRev {
			n.allowance, n.allowedUntil = allowance, sim.now+allowance.TTL
		}
	}
}

// confirmed returns the latest step that all nodes have that may still send requests.
func (l *simLead) confirmed() uint64 {
	if l.sim.mutation.confirmsAtOnce {
		return l.admission.Step
	}
	if l.sim.now < l.since+freshness+simTick {
		for _, n := range l.sim.nodes {
			if !l.knows[n.index] && !n.stopped && n.fresh(l.sim.now) {
				return 0
			}
		}
	}
	step := l.admission.Step
	for index, at := range l.beatAt {
		if l.sim.now < at+freshness+simTick {
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
	calls   []storeCall
	down    bool
	writes  int
	maxKept uint64
	// unknownPerThousand is how often a write's answer is lost, and latePerThousand how
	// often a write without an answer takes effect late.
	unknownPerThousand int
	latePerThousand    int
}

// storeCall is a call on its way.
type storeCall struct {
	at  time.Duration
	run func()
}

const storeDelay = 30 * time.Millisecond

func (st *simStore) revision() uint64 { return blplatform.NewRevision(st.era, st.number) }

func (st *simStore) after(delay time.Duration, run func()) {
	st.calls = append(st.calls, storeCall{at: st.sim.now + delay, run: run})
}

func (st *simStore) deliver() {
	calls := st.calls
	st.calls = nil
	for _, call := range calls {
		if st.sim.now < call.at {
			st.calls = append(st.calls, call)
			continue
		}
		call.run()
	}
}

func (st *simStore) load(l *simLead, e blrollout.LoadRecord) {
	st.after(storeDelay, func() {
		l.send(blrollout.RecordLoaded{Term: e.Term, Service: e.Service, Record: st.read(), Failed: st.down})
	})
}

func (st *simStore) read() blrollout.Record {
	record := st.record
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
		st.after(storeDelay, func() { answer(blplatform.Unresolved) })
		st.after(time.Duration(st.sim.random.IntN(4000))*time.Millisecond, func() { st.swap(l, e) })
		return
	case st.sim.random.IntN(1000) < st.unknownPerThousand:
		applied := st.sim.random.IntN(2) == 0
		st.after(delay, func() {
			if applied && !st.down {
				st.swap(l, e)
			}
			answer(blplatform.Unresolved)
		})
		return
	}
	st.after(delay, func() {
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
	st.after(storeDelay, func() {
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
			st.sim.checkCompletion()
		}
	}
	st.status = status
}

// checkCompletion records what makes it too early for a completed status.
func (sim *fleetSim) checkCompletion() {
	for _, n := range sim.nodes {
		if n.upstream.Version == sim.order.Target || n.stopped {
			continue
		}
		if n.running > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s runs %d requests", sim.now, n.upstream.Name, n.running))
		}
		if sim.partitionsOf(n) > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s has partitions", sim.now, n.upstream.Name))
		}
		for _, entry := range sim.nodes {
			if !entry.stopped && entry.fresh(sim.now) && !entry.held[n.upstream.Incarnation] {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: completed while %s may send to %s", sim.now, entry.host.Name, n.upstream.Name))
			}
		}
	}
}

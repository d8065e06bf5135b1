package blrollout_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const term = 3

// duty drives the decision by hand.
type duty struct {
	state   blrollout.State
	now     bltimer.Instant
	plan    blconfig.Plan
	effects []blrollout.Effect
}

func order(name blvalue.ServiceName, revision uint64) blconfig.RolloutOrder {
	return blconfig.RolloutOrder{Service: name, Target: newVersion, Duration: 12 * time.Second, Revision: revision}
}

// newDuty returns the duty of an established lead whose configuration has the orders.
func newDuty(orders ...blconfig.RolloutOrder) *duty {
	d := &duty{state: blrollout.New(), now: bltimer.Instant(time.Minute), plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{}, Rollouts: map[blvalue.ServiceName]blconfig.RolloutOrder{},
		Domains:  map[blvalue.DomainName]blconfig.DomainState{"d0": blconfig.DomainIn},
		Timing:   blconfig.Timing{Heartbeat: 500 * time.Millisecond, Freshness: 2 * time.Second},
		Exposure: blconfig.Exposure{Share: 0.1, Reserve: 50, RollbackTime: 5 * time.Second},
	}}
	for _, o := range orders {
		d.plan.Services[o.Service] = blconfig.Service{Name: o.Service}
		d.plan.Rollouts[o.Service] = o
	}
	d.lead(term)
	d.send(blrollout.ConfigSeen{Accepted: blconfig.Accepted{Revision: 50, Plan: d.plan}})
	return d
}

func (d *duty) lead(term uint64) {
	d.send(blrollout.AuthorityChanged{Authority: bllead.Authority{Term: term, Until: d.now.Add(time.Hour), MayChange: true}})
}

func (d *duty) send(m blrollout.Message) {
	d.state, d.effects = blrollout.Decide(d.state, m, d.now)
}

// tick sends a view with three old and three new upstreams of each service, and a tick.
func (d *duty) tick() {
	d.now = d.now.Add(100 * time.Millisecond)
	view := blassign.RolloutView{Term: term}
	for name := range d.plan.Services {
		for i := range 6 {
			view.Upstreams = append(view.Upstreams, blassign.RolloutUpstream{Upstream: upstream(name, i), Node: node(i)})
		}
	}
	d.send(blrollout.ViewSeen{View: view})
	before := d.effects
	d.send(blrollout.Tick{})
	d.effects = append(before, d.effects...)
}

func upstream(name blvalue.ServiceName, i int) blvalue.Upstream {
	version := oldVersion
	if i >= 3 {
		version = newVersion
	}
	id := string(name) + string(rune('0'+i))
	return blvalue.Upstream{Name: blvalue.UpstreamName(id), Incarnation: blvalue.Incarnation(id + "_run"), Service: name, Version: version}
}

func node(i int) blvalue.Host {
	id := "n" + string(rune('0'+i))
	return blvalue.Host{Name: blvalue.HostName(id), Incarnation: blvalue.Incarnation(id + "_run"), Domain: "d0"}
}

// report sends what the node of an upstream of pot has counted under order 40.
func (d *duty) report(i int, sent uint64) {
	u := upstream("pot", i)
	d.send(blrollout.ResultsSeen{Reported: blassign.ResultsReported{Term: term, Node: node(i), Results: []blvalue.UpstreamResults{{
		Upstream: u.Name, Incarnation: u.Incarnation, Service: u.Service, Version: u.Version, Order: 40, Sent: sent,
		OrderAge: time.Second,
	}}}})
}

// load answers the read of pot's record.
func (d *duty) load(record blrollout.Record) {
	d.send(blrollout.RecordLoaded{Term: term, Service: "pot", Record: record})
}

// write returns the write of pot's record among the latest effects, if any.
func (d *duty) write() (blrollout.WriteRecord, bool) {
	for _, effect := range d.effects {
		if write, ok := effect.(blrollout.WriteRecord); ok && write.Service == "pot" {
			return write, true
		}
	}
	return blrollout.WriteRecord{}, false
}

func (d *duty) answer(write blrollout.WriteRecord, outcome blplatform.Outcome) {
	current := write.Record
	current.Revision = write.Base + 1
	d.send(blrollout.RecordWritten{
		Term: term, Service: write.Service, WriteID: write.Record.WriteID, Outcome: outcome, Current: current,
	})
}

// allowed returns the sum of the allowances of a service.
func (d *duty) allowed(name blvalue.ServiceName) uint64 {
	for _, view := range d.state.Views(d.now) {
		if view.Service == name {
			return view.Allowed
		}
	}
	return 0
}

// wait sends ticks for the given time.
func (d *duty) wait(length time.Duration) {
	for end := d.now.Add(length); d.now < end; {
		d.tick()
	}
}

// TestAllowancesNeedAReservation checks that a lead allows nothing before the store holds
// the reservation: the next lead would allow the same requests once more.
func TestAllowancesNeedAReservation(t *testing.T) {
	cases := []struct {
		name    string
		outcome blplatform.Outcome
		want    uint64
	}{
		{"written", blplatform.Written, 25},
		{"not sent", blplatform.NotSent, 0},
		{"unresolved", blplatform.Unresolved, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDuty(order("pot", 40))
			d.wait(2 * time.Second)
			d.load(blrollout.Record{})
			write, ok := d.write()
			if !ok || write.Record.Reserved != 25 {
				t.Fatalf("write: got %+v, want one that reserves 25", write)
			}
			if got := d.allowed("pot"); got != 0 {
				t.Errorf("allowed before the answer: got %d, want 0", got)
			}
			d.answer(write, c.outcome)
			d.tick()
			if got := d.allowed("pot"); got > c.want || c.want > 0 && got == 0 {
				t.Errorf("allowed: got %d, want at most %d", got, c.want)
			}
		})
	}
}

// TestUnresolvedWriteIsSentAgain checks that the same write is sent until its outcome is
// known, and no other one meanwhile.
func TestUnresolvedWriteIsSentAgain(t *testing.T) {
	d := newDuty(order("pot", 40))
	d.wait(2 * time.Second)
	d.load(blrollout.Record{})
	write, _ := d.write()
	d.answer(write, blplatform.Unresolved)
	again := 0
	for range 20 {
		d.tick()
		if next, ok := d.write(); ok {
			again++
			if next != write {
				t.Errorf("write: got %+v, want %+v again", next, write)
			}
		}
	}
	if again == 0 {
		t.Errorf("writes: got 0, want the same again")
	}
}

// TestTakeoverAllowsOnlyWhatItReserves checks that a lead doesn't allow again what its
// predecessor may have allowed.
func TestTakeoverAllowsOnlyWhatItReserves(t *testing.T) {
	d := newDuty(order("pot", 40))
	d.load(blrollout.Record{Revision: 9, Order: order("pot", 40), Phase: blrollout.PhaseRunning, Reserved: 100, Term: term - 1, Others: 3})
	for i := range 6 {
		d.report(i, 20)
	}
	d.wait(2 * time.Second)
	if got := d.allowed("pot"); got != 0 {
		t.Errorf("allowed: got %d of what the predecessor reserved, want 0", got)
	}
	// 0.08 of 2,060 requests and 25 are 89 more than the predecessor reserved.
	for i := range 3 {
		d.report(i, 2000/3+1)
	}
	d.tick()
	write, ok := d.write()
	if !ok || write.Record.Reserved != 189 {
		t.Fatalf("write: got %+v, want one that reserves 189", write)
	}
	d.answer(write, blplatform.Written)
	d.tick()
	if got := d.allowed("pot"); got == 0 || got > 89 {
		t.Errorf("allowed: got %d, want up to 89", got)
	}
}

// TestRecordOfALaterOrderWins checks that a lead whose configuration is late neither
// replaces the record of a later order nor ends it as removed.
func TestRecordOfALaterOrderWins(t *testing.T) {
	later := blrollout.Record{Revision: 99, Order: order("pot", 80), Phase: blrollout.PhaseRunning, Term: term - 1}
	later.Order.Target = "v3"
	cases := []struct {
		name string
		duty *duty
	}{
		{"another order", newDuty(order("pot", 40))},
		{"no order", func() *duty {
			d := newDuty(order("kettle", 40))
			d.plan.Services["pot"] = blconfig.Service{Name: "pot"}
			d.send(blrollout.ConfigSeen{Accepted: blconfig.Accepted{Revision: 60, Plan: d.plan}})
			return d
		}()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.duty.load(later)
			for range 30 {
				c.duty.tick()
				if write, ok := c.duty.write(); ok {
					t.Fatalf("write: got %+v, want none", write)
				}
			}
		})
	}
}

// TestOrdersOfServicesAreIndependent checks that a service whose record can't be read holds
// up no other one.
func TestOrdersOfServicesAreIndependent(t *testing.T) {
	d := newDuty(order("pot", 40), order("kettle", 41))
	d.load(blrollout.Record{})
	write, ok := d.write()
	if !ok {
		t.Fatalf("effects: got %v, want a write", d.effects)
	}
	d.answer(write, blplatform.Written)
	d.wait(3 * time.Second)
	if got := d.allowed("pot"); got == 0 {
		t.Errorf("allowed for pot: got 0, want some")
	}
	if got := d.allowed("kettle"); got != 0 {
		t.Errorf("allowed for kettle: got %d, want 0", got)
	}
}

// TestStatusIsRepaired checks that a lead stores the status of an ended order once more,
// and again until the store has it.
func TestStatusIsRepaired(t *testing.T) {
	d := newDuty(order("pot", 40))
	d.tick()
	d.load(blrollout.Record{Revision: 9, Order: order("pot", 40), Phase: blrollout.PhaseRolledBack, Term: term - 1})
	want := blrollout.WriteStatus{Term: term, Status: blrollout.Status{Service: "pot", Target: newVersion, Phase: blrollout.PhaseRolledBack}}
	for _, failed := range []bool{true, false} {
		found := false
		for range 10 {
			for _, effect := range d.effects {
				found = found || effect == blrollout.Effect(want)
			}
			if found {
				break
			}
			d.tick()
		}
		if !found {
			t.Fatalf("status: got none, want %+v", want)
		}
		d.send(blrollout.StatusWritten{Term: term, Status: want.Status, Failed: failed})
	}
	d.wait(2 * time.Second)
	if d.state.Busy() {
		t.Errorf("busy after the end: got true, want false")
	}
}

// TestPartialViewReleasesNothing checks that a new lead that has heard of upstreams of the
// version only doesn't take them for all there are.
func TestPartialViewReleasesNothing(t *testing.T) {
	d := newDuty(order("pot", 40))
	d.load(blrollout.Record{Revision: 9, Order: order("pot", 40), Phase: blrollout.PhaseRunning, Reserved: 100, Term: term - 1, Others: 3})
	view := blassign.RolloutView{Term: term}
	for i := 3; i < 6; i++ {
		view.Upstreams = append(view.Upstreams, blassign.RolloutUpstream{Upstream: upstream("pot", i), Node: node(i)})
		d.report(i, 20)
	}
	for range 15 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.send(blrollout.ViewSeen{View: view})
		d.send(blrollout.Tick{})
		for _, effect := range d.effects {
			published, ok := effect.(blrollout.Publish)
			if !ok {
				continue
			}
			for _, allowance := range published.Admission.Allowances {
				if allowance.Unlimited {
					t.Fatalf("allowance: got %+v, want a limited one", allowance)
				}
			}
		}
	}
}

package blrollout

import (
	"math"

	"bergamotlead/core/blvalue"
)

// Judge is the statistics that compare a version with the others in one class.
type Judge interface {
	Judge(c Comparison) Verdict
}

// Subject is the counts of one upstream of the version by period.
type Subject struct {
	Upstream blvalue.Incarnation
	Domain   blvalue.DomainName
	Slots    []Counts
}

// Comparison is the results of one class over the same periods.
type Comparison struct {
	Others  []Counts
	Version []Subject
	// Several is set when the version has so many upstreams that one of them must not
	// decide.
	Several bool
}

// Verdict is what the statistics say about a version in one class.
type Verdict struct {
	// Bad is set when the version is worse, and Doubtful when the results speak against it,
	// but not clearly. Slow is set when that is so by its latency.
	Bad      bool
	Doubtful bool
	Slow     bool
	// Good is set when the version is as good as the others, and Fair when the results
	// speak for that.
	Good bool
	Fair bool
	// Suspect is an upstream that is worse while the others are not known to be, or
	// empty. Contested is set while the others aren't known to be better either.
	Suspect   blvalue.Incarnation
	Contested bool
}

const (
	// badEvidence is the logarithm of the likelihood ratio at which a version is bad: a
	// good one gets there from a given start with a probability of 1 in 100,000. If a
	// single upstream must not decide, the others have to reach doubt.
	badEvidence = 11.5
	// goodEvidence is the one at which a version is good: a bad one gets there with a
	// probability of 1 in 200.
	goodEvidence = -5.3
	// doubt is the one from which on a version isn't passed, and is rolled back when
	// there is no more time. It is 20 to 1.
	doubt = 3
	// support is the one of the other upstreams from which on they support clearer results
	// of one: a bad answer among three.
	support = 1.5
	// fairEvidence is the one at which results speak for a version: six good answers and no
	// bad one. Of a version that spoils 45 %, 3 % get there.
	fairEvidence = -1.5
	// badIncrease is the part of the requests that a bad version spoils at least. Such
	// versions spoil 40 to 50 %.
	badIncrease = 0.25
	// failureFloor and slowFloor are parts of the requests that a good version may spoil
	// in addition to rateMargin times those of the others.
	failureFloor = 0.02
	slowFloor    = 0.04
	rateMargin   = 1.25
	// soundPart bounds that margin by a part of the requests that the others answer well,
	// so that a bad version still shows where most requests fail because of their calls.
	soundPart = 0.25
	// maxBaseRate keeps the likelihoods finite where nearly all requests are spoiled.
	maxBaseRate = 0.97
	// minOthers is the number of results of the others from which on they are taken over
	// a part of the time only, and without which there is no bound on latencies.
	minOthers = 30
	// usualPart is the part of the others' answers that is regarded as fast. An answer is
	// slow if it takes at least twice as long as the slowest of these, by buckets. With 0.9
	// a version that was eight times slower passed where hosts are of uneven speed.
	usualPart = 0.5
	// slowBounds is how many bounds are tried, each twice the one before: a higher one is
	// clearer where the others' latencies vary much.
	slowBounds = 2
)

// SequentialTest compares versions by sequential probability ratio tests, which may be
// looked at after each report: one for failures and some for slow answers, from the start
// of each period until now. The error probabilities are in docs/design/rollouts.md.
type SequentialTest struct{}

// Judge implements Judge.
func (SequentialTest) Judge(c Comparison) Verdict {
	failures := ratios(c, c.Others, failureFloor, func(counts Counts) (uint64, uint64) {
		return counts.Failed, counts.ended()
	})
	verdict := failures.verdict()
	lowest, ok := slowBound(total(c.Others))
	if !ok {
		return verdict
	}
	for bound := lowest; bound < lowest+slowBounds; bound++ {
		slow := ratios(c, c.Others, slowFloor, func(counts Counts) (uint64, uint64) {
			return counts.slowerThan(bound), counts.timed()
		}).verdict()
		slow.Slow = true
		verdict = verdict.with(slow)
	}
	return verdict
}

// with returns the verdict of two tests: either may find the version bad, and both have to
// find it good.
func (v Verdict) with(other Verdict) Verdict {
	if v.Suspect == "" {
		v.Suspect = other.Suspect
	}
	if other.Bad && !v.Bad || other.Doubtful && !v.Doubtful && !v.Bad {
		v.Slow = other.Slow
	}
	v.Bad, v.Doubtful, v.Contested = v.Bad || other.Bad, v.Doubtful || other.Doubtful, v.Contested || other.Contested
	v.Good, v.Fair = v.Good && other.Good, v.Fair && other.Fair
	return v
}

// slowBound returns the last bucket of answers that aren't slow.
func slowBound(others Counts) (int, bool) {
	timed := others.timed()
	if timed < minOthers {
		return 0, false
	}
	bucket := 0
	for float64(others.slowerThan(bucket)) > (1-usualPart)*float64(timed) {
		bucket++
	}
	return bucket + 1, true
}

func total(slots []Counts) Counts {
	var sum Counts
	for _, counts := range slots {
		sum = sum.Plus(counts)
	}
	return sum
}

// evidence is the logarithms of likelihood ratios of one test.
type evidence struct {
	// bad and doubtful are set when the ratio from some start is high enough.
	bad, doubtful bool
	// whole is the one of the whole time, without the upstream or failure domain that
	// speaks most against the version if one must not decide.
	whole float64
	// suspect is the upstream that speaks most against the version, and alone its ratio
	// at the same start.
	suspect blvalue.Incarnation
	alone   float64
	// seen is set when there are results to judge by, without those left out.
	seen bool
}

func (e evidence) verdict() Verdict {
	verdict := Verdict{
		Bad:      e.bad,
		Doubtful: e.doubtful,
		Good:     e.seen && e.whole <= goodEvidence && !e.doubtful,
		Fair:     e.seen && e.whole <= fairEvidence,
	}
	if e.alone >= doubt && !verdict.Bad {
		verdict.Suspect = e.suspect
		verdict.Contested = !e.seen || e.whole > fairEvidence
	}
	return verdict
}

// ratios computes the likelihood ratios from each start until now. The function spoiled
// returns how many requests are spoiled, and of how many.
func ratios(c Comparison, others []Counts, floor float64, spoiled func(Counts) (uint64, uint64)) evidence {
	var e evidence
	slots := len(others)
	for _, subject := range c.Version {
		slots = max(slots, len(subject.Slots))
	}
	allBad, allCount := spoiled(total(others))
	var otherBad, otherCount uint64
	bad, count := make([]uint64, len(c.Version)), make([]uint64, len(c.Version))
	for start := slots - 1; start >= 0; start-- {
		if start < len(others) {
			b, n := spoiled(others[start])
			otherBad, otherCount = otherBad+b, otherCount+n
		}
		for i, subject := range c.Version {
			if start < len(subject.Slots) {
				b, n := spoiled(subject.Slots[start])
				bad[i], count[i] = bad[i]+b, count[i]+n
			}
		}
		base := baseRate(otherBad, otherCount, floor)
		if otherCount < minOthers {
			base = baseRate(allBad, allCount, floor)
		}
		e = e.withStart(c, bad, count, base)
	}
	return e
}

func baseRate(bad, count uint64, floor float64) float64 {
	rate := float64(bad) / float64(max(count, 1))
	margin := min((rateMargin-1)*rate, soundPart*(1-rate))
	return min(floor+rate+margin, maxBaseRate)
}

// withStart adds the ratio from one start. Starts are added from the latest to the
// first.
func (e evidence) withStart(c Comparison, bad, count []uint64, base float64) evidence {
	raised := base + badIncrease*(1-base)
	ifBad, ifGood := math.Log(raised/base), math.Log((1-raised)/(1-base))
	groups := groupsOf(c)
	sums := map[string]float64{}
	sum, worst := 0.0, 0.0
	for i := range c.Version {
		if count[i] == 0 {
			continue
		}
		ratio := float64(bad[i])*ifBad + float64(difference(count[i], bad[i]))*ifGood
		sum += ratio
		sums[groups[i]] += ratio
		if ratio > e.alone && c.Several {
			e.alone, e.suspect = ratio, c.Version[i].Upstream
		}
	}
	if c.Several {
		for _, ratio := range sums {
			worst = max(worst, ratio)
		}
	}
	e.whole = sum - worst
	e.bad = e.bad || e.whole >= badEvidence || sum >= badEvidence && e.whole >= doubt
	e.doubtful = e.doubtful || e.whole >= doubt || sum >= 2*doubt && e.whole >= support
	e.seen = len(sums) > 1 || len(sums) == 1 && worst == 0
	return e
}

// minDomains is the number of failure domains with results from which on a whole domain
// is left out instead of one upstream.
const minDomains = 3

// groupsOf returns for each upstream what is left out together with it.
func groupsOf(c Comparison) []string {
	domains := map[blvalue.DomainName]bool{}
	for _, subject := range c.Version {
		domains[subject.Domain] = true
	}
	groups := make([]string, len(c.Version))
	for i, subject := range c.Version {
		groups[i] = string(subject.Upstream)
		if len(domains) >= minDomains {
			groups[i] = string(subject.Domain)
		}
	}
	return groups
}

package blrollout

import (
	"fmt"
	"slices"

	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

const (
	// usualClassPercent is the part of the others' answers from which on the version has to
	// be good in a class by itself, and rareClassPercent the one from which on it has to be
	// fair. It would take too long to see as much of a smaller class.
	usualClassPercent = 20
	rareClassPercent  = 5
	// severalUpstreams is the number of upstreams of a version from which on a single
	// one doesn't decide.
	severalUpstreams = 3
	// allClasses names the comparison of all classes together.
	allClasses = ""
)

// evaluation is the verdict on a version over all classes.
type evaluation struct {
	bad      bool
	doubtful bool
	good     bool
	// contested is set while one upstream speaks against the version and the others
	// neither confirm nor contradict it, and contestedInUsual if that is so in a class
	// with much traffic or over all classes.
	contested        bool
	contestedInUsual bool
	suspect          blvalue.Incarnation
	// reason says what makes the version bad, or else doubtful.
	reason string
	// answered counts the results of the version without those of the suspect.
	answered uint64
}

// comparisons groups the samples by class, and all of them together.
func (s Rollouts[J]) comparisons(r rollout, f fleet) bltable.Table[string, Comparison] {
	var classes bltable.Table[string, Comparison]
	for _, sample := range r.samples.All() {
		for _, class := range []string{sample.class, allClasses} {
			c, _ := classes.Get(class)
			c.Several = len(f.target) >= severalUpstreams
			switch {
			case sample.upstream == "":
				c.Others = plusSlots(c.Others, sample.slots)
			case s.config.Plan.DomainTakesWork(sample.domain):
				c.Version = withSubject(c.Version, sample)
			}
			classes = classes.With(class, c)
		}
	}
	return classes
}

func withSubject(subjects []Subject, added sample) []Subject {
	for i, subject := range subjects {
		if subject.Upstream == added.upstream {
			subjects = slices.Clone(subjects)
			subjects[i].Slots = plusSlots(subject.Slots, added.slots)
			return subjects
		}
	}
	return append(slices.Clone(subjects), Subject{Upstream: added.upstream, Domain: added.domain, Slots: added.slots})
}

func plusSlots(a, b []Counts) []Counts {
	sum := make([]Counts, max(len(a), len(b)))
	copy(sum, a)
	for i, counts := range b {
		sum[i] = sum[i].Plus(counts)
	}
	return sum
}

// evaluate compares the version with the others class by class. A version that is bad in
// one class is bad.
func (s Rollouts[J]) evaluate(r rollout, f fleet) evaluation {
	e := evaluation{good: true}
	comparisons := s.comparisons(r, f)
	all, _ := comparisons.Get(allClasses)
	traffic := total(all.Others).ended()
	for class, c := range comparisons.All() {
		e = e.withVerdict(class, s.judge.Judge(c), versionTotal(c), total(c.Others), traffic)
	}
	for _, subject := range all.Version {
		if subject.Upstream != e.suspect {
			e.answered += total(subject.Slots).ended()
		}
	}
	e.good = e.good && e.answered > 0 && !e.doubtful && !e.contested
	return e
}

func versionTotal(c Comparison) Counts {
	var sum Counts
	for _, subject := range c.Version {
		sum = sum.Plus(total(subject.Slots))
	}
	return sum
}

// withVerdict adds the verdict on a class. The others have answered traffic requests in
// all classes.
func (e evaluation) withVerdict(class string, verdict Verdict, version, others Counts, traffic uint64) evaluation {
	if verdict.Bad && !e.bad || verdict.Doubtful && !e.doubtful && !e.bad {
		e.bad, e.reason = verdict.Bad, reasonOf(class, verdict, version, others)
	}
	if e.suspect == "" {
		e.suspect = verdict.Suspect
	}
	e.doubtful = e.doubtful || verdict.Doubtful
	e.contested = e.contested || verdict.Contested
	share := others.ended() * percent
	switch {
	case class == allClasses || share >= traffic*usualClassPercent:
		e.contestedInUsual = e.contestedInUsual || verdict.Contested
		e.good = e.good && verdict.Good
	case share >= traffic*rareClassPercent:
		e.good = e.good && verdict.Fair
	}
	return e
}

func reasonOf(class string, verdict Verdict, version, others Counts) string {
	if class == allClasses {
		class = "all classes"
	}
	if !verdict.Slow {
		return fmt.Sprintf("%s: %d of %d requests failed, against %d of %d of other versions",
			class, version.Failed, version.ended(), others.Failed, others.ended())
	}
	bound, _ := slowBound(others)
	return fmt.Sprintf("%s: %d of %d answers took over %d ms, against %d of %d of other versions",
		class, version.slowerThan(bound), version.timed(), 1<<bound, others.slowerThan(bound), others.timed())
}

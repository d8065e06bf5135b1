package blplatform_test

import (
	"testing"

	"bergamotlead/core/blplatform"
)

func TestRevisionsRiseAcrossEras(t *testing.T) {
	before, after := blplatform.NewRevision(3, 900), blplatform.NewRevision(4, 2)
	if after <= before {
		t.Errorf("revision after a restore: got %d, want more than %d", after, before)
	}
	if era, number := blplatform.RevisionEra(after), blplatform.RevisionNumber(after); era != 4 || number != 2 {
		t.Errorf("parts of revision: got era %d, number %d, want 4, 2", era, number)
	}
	if got := blplatform.NewRevision(4, 0); got != 0 {
		t.Errorf("revision of an absent key: got %d, want 0", got)
	}
	if got := blplatform.NewRevision(0, 57); got != 57 {
		t.Errorf("revision of a store without eras: got %d, want 57", got)
	}
}

func TestFromEarlierEra(t *testing.T) {
	cases := []struct {
		name     string
		revision uint64
		era      blplatform.Era
		want     bool
	}{
		{"absent key", 0, 2, false},
		{"before the first restore", 7, 1, true},
		{"same era", blplatform.NewRevision(2, 7), 2, false},
		{"earlier era", blplatform.NewRevision(1, 7), 2, true},
		{"later era than known", blplatform.NewRevision(3, 7), 2, false},
	}
	for _, c := range cases {
		if got := blplatform.FromEarlierEra(c.revision, c.era); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

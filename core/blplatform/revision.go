package blplatform

// Era counts how often the store has been restored from an older copy of its data.
// What was written after that copy is lost, and the numbers of lost revisions are
// assigned again.
type Era uint64

const (
	// revisionNumberBits is the number of bits of a revision for the store's own number.
	// The era is above them.
	revisionNumberBits = 47
	// eraBits is the number of bits for the era. Longer ones are cut.
	eraBits = 16
)

// NewRevision returns the revision that combines an era with the number that the
// store assigned in it, so that revisions rise across eras. Number zero stands for an
// absent key and gives revision zero.
func NewRevision(era Era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return uint64(era)%(1<<eraBits)<<revisionNumberBits | number%(1<<revisionNumberBits)
}

// RevisionEra returns the era in which the store reported a revision.
func RevisionEra(revision uint64) Era {
	return Era(revision >> revisionNumberBits)
}

// RevisionNumber returns the number that the store assigned to a revision.
func RevisionNumber(revision uint64) uint64 {
	return revision % (1 << revisionNumberBits)
}

// FromEarlierEra reports whether a revision is of an earlier era than the given one.
// Revision zero belongs to no era.
func FromEarlierEra(revision uint64, era Era) bool {
	return revision != 0 && RevisionEra(revision) < era%(1<<eraBits)
}

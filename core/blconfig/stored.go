package blconfig

import "slices"

// Stored is what operators have stored, as read at a revision of the store.
type Stored struct {
	Revision uint64
	// Version and Text are the configuration. Text is empty if there is none.
	Version uint64
	Text    string
	// Out lists the names of the failure domains that must get no work, sorted.
	Out []string
}

// SameContents reports whether both differ in their revisions at most.
func (s Stored) SameContents(other Stored) bool {
	return s.Version == other.Version && s.Text == other.Text && slices.Equal(s.Out, other.Out)
}

// Latest holds the latest that a node has learned of what operators stored, from the
// store or from other nodes. A store that was restored from an older copy of its data
// takes back nothing of it: operators write again what was lost.
type Latest struct {
	stored Stored
}

// Merge returns what is in force after a read of the store: the later one of the two
// versions of the configuration, at the revision of the read.
func (l Latest) Merge(read Stored) Stored {
	if l.stored.Version > read.Version {
		read.Version, read.Text = l.stored.Version, l.stored.Text
	}
	return read
}

// MergeReceived returns what is in force after another node has sent what is in force
// there. Its version may be later although its revision is earlier, if that node has
// not read the restored store yet.
func (l Latest) MergeReceived(received Stored) Stored {
	merged := l.Merge(received)
	if received.Revision < l.stored.Revision {
		merged.Revision, merged.Out = l.stored.Revision, l.stored.Out
	}
	return merged
}

// With returns the state after merged has come into force.
func (l Latest) With(merged Stored) Latest {
	switch {
	case merged.Revision >= l.stored.Revision:
		l.stored = merged
	case merged.Version > l.stored.Version:
		l.stored.Version, l.stored.Text = merged.Version, merged.Text
	}
	return l
}

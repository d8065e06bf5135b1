package blnode

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

// documentSource reads the configuration document from the store. If the store was
// restored from an older copy, it first writes the latest known document again, since
// operators don't write documents to the store themselves.
type documentSource struct {
	store blplatform.Store
	// known returns the latest configuration that this node has, or is nil.
	known func() blconfig.Accepted
}

// withKnown returns a source that writes the configuration of known again if the store
// has lost it.
func (d documentSource) withKnown(known func() blconfig.Accepted) documentSource {
	d.known = known
	return d
}

// Load implements ConfigSource.
func (d documentSource) Load(ctx context.Context) (blconfig.Accepted, error) {
	entry, err := d.store.Get(ctx, blstore.ConfigKey)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("load configuration: %w", err)
	}
	return d.latest(ctx, entry)
}

// Watch implements ConfigSource.
func (d documentSource) Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error) {
	entry, err := d.store.Watch(ctx, blstore.ConfigKey, revision)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("watch configuration: %w", err)
	}
	return d.latest(ctx, entry)
}

// latest returns the configuration in entry, or the known one if that is later, which
// is then written in its place.
func (d documentSource) latest(ctx context.Context, entry blplatform.Entry) (blconfig.Accepted, error) {
	accepted, err := decodeConfig(entry)
	if err != nil || d.known == nil {
		return accepted, err
	}
	known := d.known()
	if known.Version <= accepted.Version {
		return accepted, nil
	}
	value, err := lostConfig(entry, known)
	if err != nil {
		return blconfig.Accepted{}, err
	}
	written, err := blplatform.Write(ctx, d.store, blstore.ConfigKey, entry.Revision, value)
	if written.Outcome != blplatform.Written {
		return blconfig.Accepted{}, fmt.Errorf("write lost configuration again: %w", err)
	}
	return decodeConfig(written.Entry)
}

// lostConfig encodes a configuration that the store has lost, as the change that it
// was: its version stays, so that a change accepted after it remains later.
func lostConfig(entry blplatform.Entry, known blconfig.Accepted) ([]byte, error) {
	stored, err := blstore.DecodeConfig(entry)
	if err != nil {
		return nil, fmt.Errorf("write lost configuration again: %w", err)
	}
	_, text := splitSource(known.Source)
	next := stored.WithChange(uuid.NewString(), text, known.Version-1, time.Now().UTC(), nil)
	value, err := blstore.EncodeConfig(next.WithMaxGrantTTL(max(stored.MaxGrantTTL(), known.MaxGrantTTL)))
	if err != nil {
		return nil, fmt.Errorf("write lost configuration again: %w", err)
	}
	return value, nil
}

// Decode implements ConfigSource.
func (documentSource) Decode(revision uint64, source []byte) (blconfig.Accepted, error) {
	version, text := splitSource(string(source))
	document, err := blsettings.ParseDocument([]byte(text))
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("decode configuration: %w", err)
	}
	return newAccepted(revision, version, document, text), nil
}

// decodeConfig decodes the configuration in entry. If the entry doesn't exist,
// the revision is zero.
func decodeConfig(entry blplatform.Entry) (blconfig.Accepted, error) {
	if !entry.Exists() {
		return blconfig.Accepted{}, nil
	}
	stored, err := blstore.DecodeConfig(entry)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("read configuration: %w", err)
	}
	document, err := blsettings.ParseDocument([]byte(stored.Document))
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("read configuration: %w", err)
	}
	version := documentVersion(stored)
	accepted := newAccepted(entry.Revision, version, document, stored.Document)
	return accepted.WithStoredVersion(version).WithMaxGrantTTL(stored.MaxGrantTTL()), nil
}

// documentVersion returns the version of a stored document: one above the revision
// that its change replaced. It rises with each change and from era to era.
func documentVersion(stored blstore.StoredConfig) uint64 {
	if len(stored.History) == 0 {
		return 0
	}
	return changeVersion(stored.History[0].BaseRevision)
}

// changeVersion returns the version of the document that replaces the one at the given
// revision.
func changeVersion(base uint64) uint64 {
	return base + 1
}

// versionPrefix begins the first line of a source, which holds the version and the
// revision. Nodes send each other the source. A document that is written again differs
// from the lost one in this line, so that every node learns its revision.
const versionPrefix = "# version "

// newAccepted returns the accepted form of a document with its version.
func newAccepted(revision, version uint64, document blconfig.Document, text string) blconfig.Accepted {
	source := fmt.Sprintf("%s%d revision %d\n%s", versionPrefix, version, revision, text)
	return blconfig.NewAccepted(revision, document, source).WithVersion(version)
}

// splitSource returns the version and the text of a document. A text of a node without
// versions has version zero.
func splitSource(source string) (uint64, string) {
	line, text, _ := strings.Cut(source, "\n")
	header, found := strings.CutPrefix(line, versionPrefix)
	number, _, _ := strings.Cut(header, " ")
	version, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil {
		return 0, source
	}
	return version, text
}

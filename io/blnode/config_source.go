package blnode

import (
	"context"
	"fmt"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

// documentSource reads the configuration document from the store.
type documentSource struct {
	store blplatform.Store
}

// Load implements ConfigSource.
func (d documentSource) Load(ctx context.Context) (blconfig.Accepted, error) {
	entry, err := d.store.Get(ctx, blstore.ConfigKey)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("load configuration: %w", err)
	}
	return decodeConfig(entry)
}

// Watch implements ConfigSource.
func (d documentSource) Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error) {
	entry, err := d.store.Watch(ctx, blstore.ConfigKey, revision)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("watch configuration: %w", err)
	}
	return decodeConfig(entry)
}

// Decode implements ConfigSource.
func (documentSource) Decode(revision uint64, source []byte) (blconfig.Accepted, error) {
	document, err := blsettings.ParseDocument(source)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("decode configuration: %w", err)
	}
	return blconfig.NewAccepted(revision, document, string(source)), nil
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
	return blconfig.NewAccepted(entry.Revision, document, stored.Document).WithMaxGrantTTL(stored.MaxGrantTTL()), nil
}

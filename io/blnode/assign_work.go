package blnode

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blstore"
)

// assignStore performs the assign duty's calls to the store.
type assignStore struct {
	store     blplatform.Store
	source    ConfigSource
	keys      blstore.Keys
	logger    hclog.Logger
	put       func(blassign.Message) error
	onConfig  func(blconfig.Accepted)
	countCall func(kind string)
}

func (w assignStore) perform(effect blassign.Effect) {
	switch e := effect.(type) {
	case blassign.LoadConfig:
		w.loadConfig()
	case blassign.LoadChunk:
		_ = w.put(w.loadChunk(e))
	case blassign.WriteChunk:
		_ = w.put(w.writeChunk(e))
	}
}

func (w assignStore) loadConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.countCall("get")
	accepted, err := w.source.Load(ctx)
	if err != nil {
		w.logger.Warn("configuration not read", "error", err)
	} else if accepted.Revision > 0 {
		w.onConfig(accepted)
	}
}

func (w assignStore) loadChunk(e blassign.LoadChunk) blassign.ChunkLoaded {
	result := blassign.ChunkLoaded{Term: e.Term, ID: e.ID}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.countCall("get")
	entry, err := w.store.Get(ctx, w.keys.Chunk(e.ID))
	if err == nil {
		result.Chunk, err = blstore.DecodeChunk(entry)
	}
	result.Failed = err != nil
	return result
}

func (w assignStore) writeChunk(e blassign.WriteChunk) blassign.ChunkWritten {
	result := blassign.ChunkWritten{
		Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: blplatform.NotSent,
	}
	value, err := blstore.EncodeChunk(e.Chunk)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w.countCall("swap")
	written, _ := blplatform.Write(ctx, w.store, w.keys.Chunk(e.ID), e.Base, value)
	result.Outcome = written.Outcome
	result.Current, err = blstore.DecodeChunk(written.Entry)
	if err != nil {
		result.Outcome = blplatform.Unresolved
	}
	return result
}

package blnode

import (
	"context"
	"time"

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
	leaseTTL  func() time.Duration
	put       func(blassign.Message) error
	onConfig  func(blconfig.Accepted)
	countCall func(kind string)
}

func (s assignStore) perform(effect blassign.Effect) {
	switch e := effect.(type) {
	case blassign.LoadConfig:
		s.loadConfig()
	case blassign.LoadChunk:
		_ = s.put(s.loadChunk(e))
	case blassign.WriteChunk:
		_ = s.put(s.writeChunk(e))
	}
}

func (s assignStore) loadConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	s.countCall("get")
	accepted, err := s.source.Load(ctx)
	if err != nil {
		s.logger.Warn("configuration not read", "error", err)
	} else if accepted.Revision > 0 {
		s.onConfig(accepted)
	}
}

func (s assignStore) loadChunk(e blassign.LoadChunk) blassign.ChunkLoaded {
	result := blassign.ChunkLoaded{Term: e.Term, ID: e.ID}
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("get")
	entry, err := s.store.Get(ctx, s.keys.Chunk(e.ID))
	if err == nil {
		result.Chunk = s.decodeChunk(e.ID, entry)
	}
	result.Failed = err != nil
	return result
}

// decodeChunk decodes a chunk. One that another writer has made unreadable is logged
// and counts as a chunk without owners, which the lead then writes anew.
func (s assignStore) decodeChunk(id blassign.ChunkID, entry blplatform.Entry) blassign.Chunk {
	chunk, err := blstore.DecodeChunk(entry)
	if err != nil {
		s.logger.Warn("assignment not readable", "service", string(id.Service), "chunk", id.Index, "revision", entry.Revision, "error", err)
		return blstore.UnreadableChunk(entry)
	}
	return chunk
}

func (s assignStore) writeChunk(e blassign.WriteChunk) blassign.ChunkWritten {
	result := blassign.ChunkWritten{
		Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: blplatform.NotSent,
	}
	value, err := blstore.EncodeChunk(e.Chunk)
	if err != nil {
		return result
	}
	if e.Again {
		s.logger.Info("assignment written again", "service", string(e.ID.Service), "chunk", e.ID.Index, "era", uint64(e.Chunk.Era))
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.countCall("swap")
	written, _ := blplatform.Write(ctx, s.store, s.keys.Chunk(e.ID), e.Base, value)
	result.Outcome = written.Outcome
	result.Current = s.decodeChunk(e.ID, written.Entry)
	return result
}

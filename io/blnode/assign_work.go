package blnode

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

// assignWork performs the ownership duty's calls to the store.
type assignWork struct {
	store  blplatform.Store
	keys   blstore.Keys
	logger hclog.Logger
	put    func(blassign.Message) error
	config func(blconfig.Accepted)
	count  func(kind string)
}

func (w assignWork) perform(effect blassign.Effect) {
	switch e := effect.(type) {
	case blassign.LoadConfig:
		w.loadConfig()
	case blassign.LoadChunk:
		_ = w.put(w.loadChunk(e))
	case blassign.WriteChunk:
		_ = w.put(w.writeChunk(e))
	}
}

func (w assignWork) loadConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.count("get")
	entry, err := w.store.Get(ctx, blstore.Config)
	if err != nil {
		w.logger.Warn("configuration not read", "error", err)
		return
	}
	if accepted, err := readConfig(entry); err != nil {
		w.logger.Error("configuration refused", "error", err)
	} else if accepted.Revision > 0 {
		w.config(accepted)
	}
}

// readConfig reads the configuration in entry. One that is absent has revision
// zero.
func readConfig(entry blplatform.Entry) (blconfig.Accepted, error) {
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
	return blconfig.NewAccepted(entry.Revision, document, stored.Document).WithGrantBound(stored.GrantBound()), nil
}

func (w assignWork) loadChunk(e blassign.LoadChunk) blassign.ChunkLoaded {
	result := blassign.ChunkLoaded{Term: e.Term, ID: e.ID}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.count("get")
	entry, err := w.store.Get(ctx, w.keys.Chunk(e.ID))
	if err == nil {
		result.Chunk, err = blstore.DecodeChunk(entry)
	}
	result.Failed = err != nil
	return result
}

func (w assignWork) writeChunk(e blassign.WriteChunk) blassign.ChunkWritten {
	result := blassign.ChunkWritten{
		Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: blplatform.NotSent,
	}
	value, err := blstore.EncodeChunk(e.Chunk)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w.count("swap")
	written, _ := blplatform.Write(ctx, w.store, w.keys.Chunk(e.ID), e.Base, value)
	result.Outcome = written.Outcome
	result.Current, err = blstore.DecodeChunk(written.Entry)
	if err != nil {
		result.Outcome = blplatform.Unresolved
	}
	return result
}

// watchJob asks for the next configuration after a revision.
type watchJob struct {
	revision uint64
}

const watchPause = 200 * time.Millisecond

// configWatch waits for configurations on the lead's behalf.
type configWatch struct {
	store  blplatform.Store
	logger hclog.Logger
	config func(blconfig.Accepted)
	leads  func() bool
	again  func(watchJob)
	count  func(kind string)
}

// perform waits for one change and asks to be run again while this process is
// lead.
func (w configWatch) perform(job watchJob) {
	if !w.leads() {
		return
	}
	w.count("watch")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	entry, err := w.store.Watch(ctx, blstore.Config, job.revision)
	if err != nil {
		time.Sleep(watchPause)
		w.again(job)
		return
	}
	job.revision = entry.Revision
	accepted, err := readConfig(entry)
	if err != nil {
		w.logger.Error("configuration refused", "error", err)
	} else if accepted.Revision > 0 {
		w.config(accepted)
	}
	w.again(job)
}

package blhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blserver"
)

const (
	// maxReplayBytes is the size up to which a request body is buffered, so that
	// it can be sent again in another attempt.
	maxReplayBytes = 64 << 10
	// ordinaryStartBytes is what an ordinary request may buffer of its body without a
	// share of its own, and startGrowth the factor by which the buffer grows.
	ordinaryStartBytes = 4 << 10
	startGrowth        = 4
	// bodyBytes and responseBytes are the shares of a body and of a response in transfer:
	// the buffers on the way of a piece of it. 190 KB were measured for a body on its way
	// to another node.
	bodyBytes     = 192 << 10
	responseBytes = 64 << 10
)

// Body is the body of a request. A small one is buffered completely, a larger
// one is streamed.
type Body struct {
	start  *bodyStart
	stream io.Reader
	length int64
}

// replayable reports whether the body can be sent again. A start that can is kept until
// it has been sent again.
func (b Body) replayable() bool {
	return b.stream == nil && (b.start == nil || b.start.keep())
}

// reader returns a reader of the whole body, or nil if the request has none.
func (b Body) reader() io.Reader {
	if b.length == 0 {
		return nil
	}
	if b.stream == nil {
		return b.start.reader()
	}
	return io.MultiReader(&startReader{start: b.start, once: true}, b.stream)
}

// passedPhase returns the phase of a connection whose request with this body is passed on.
func (b Body) passedPhase() blmemory.Phase {
	if b.stream != nil {
		return blmemory.PhaseUploading
	}
	return blmemory.PhasePassed
}

// bodyStart is the buffered start of a body, or the whole of a small one. It is dropped
// when its memory is needed, nobody reads it, and it has been sent once.
type bodyStart struct {
	holder *blbudget.Holder

	mu    sync.Mutex
	bytes []byte
	// readers is the number of readers that haven't read it to its end, and kept is set
	// while another one is expected.
	readers int
	kept    bool
	dropped bool
}

// keep keeps the start until it has been sent again, and reports whether it is there.
func (s *bodyStart) keep() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = true
	return !s.dropped
}

func (s *bodyStart) reader() io.Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	s.kept = false
	return &startReader{start: s}
}

// shared reports whether the start has a share of its own.
func (s *bodyStart) shared() bool { return cap(s.bytes) > ordinaryStartBytes }

// drop drops the start if it may be dropped. It is called by the budget.
func (s *bodyStart) drop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readers > 0 || s.kept {
		return false
	}
	s.bytes, s.dropped = nil, true
	return true
}

// errDropped reports a start that was dropped before it was read again.
var errDropped = errors.New("the buffered body was dropped")

// startReader reads the start of a body. With once it drops it at its end.
type startReader struct {
	start  *bodyStart
	offset int
	once   bool
	ended  bool
}

// Read implements io.Reader.
func (r *startReader) Read(buffer []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	s := r.start
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropped {
		return 0, errDropped
	}
	count := copy(buffer, s.bytes[r.offset:])
	r.offset += count
	if r.offset < len(s.bytes) {
		return count, nil
	}
	r.end()
	return count, io.EOF
}

// end notes that the whole start has been read. The mutex of the start is held.
func (r *startReader) end() {
	r.ended = true
	s := r.start
	if r.once {
		if s.shared() {
			s.holder.Release(blmemory.KindStart, int64(cap(s.bytes)))
		}
		s.bytes, s.dropped = nil, true
		return
	}
	if s.readers--; s.readers == 0 && s.shared() {
		s.holder.StartSent()
	}
}

// ReadBody buffers the start of the body of r, of which at most limits.BodyBytes can be
// read within the timeout of the call. Until the start has arrived, it may stall no longer
// than the route lets a caller wait. Less of it is buffered when memory is short.
func ReadBody(r *http.Request, limits Limits, call Call) (Body, error) {
	if r.ContentLength > limits.BodyBytes {
		return Body{}, TooLargeError{Limit: limits.BodyBytes}
	}
	if r.Body == nil || r.ContentLength == 0 {
		return Body{}, nil
	}
	blserver.LimitBody(r.Context(), call.Request.Timeout+writeGrace, limits.stall(call))
	limited := http.MaxBytesReader(nil, r.Body, limits.BodyBytes)
	start := &bodyStart{holder: blserver.HolderOf(r.Context())}
	whole, err := start.fill(limited, r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return Body{}, TooLargeError{Limit: limits.BodyBytes}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Body{}, StalledError{}
	case err != nil:
		return Body{}, MalformedError{Reason: "the body broke off"}
	case !whole:
		return Body{start: start, stream: limited, length: r.ContentLength}, nil
	}
	blserver.EndBodyLimit(r.Context())
	if start.shared() {
		start.holder.KeepStart(start.drop)
	}
	return Body{start: start, length: int64(len(start.bytes))}, nil
}

// fill reads the start of a body of the given length, or of unknown length below zero. It
// reports whether it has read the whole body, and stops when there is no more memory.
func (s *bodyStart) fill(body io.Reader, length int64) (bool, error) {
	limit := maxReplayBytes
	if length >= 0 {
		limit = int(min(length, maxReplayBytes))
	}
	s.bytes = make([]byte, 0, max(min(limit, ordinaryStartBytes), bytes.MinRead))
	for {
		count, err := body.Read(s.bytes[len(s.bytes):cap(s.bytes)])
		s.bytes = s.bytes[:len(s.bytes)+count]
		if errors.Is(err, io.EOF) || err == nil && int64(len(s.bytes)) == length {
			return true, nil
		}
		if err != nil {
			return false, err //nolint:wrapcheck // ReadBody tells the kinds of errors apart
		}
		if len(s.bytes) == cap(s.bytes) && !s.grow(limit) {
			return false, nil
		}
	}
}

// grow makes room for more of the start, and reports whether it may become larger.
func (s *bodyStart) grow(limit int) bool {
	size := min(cap(s.bytes)*startGrowth, limit)
	if size <= cap(s.bytes) {
		return false
	}
	held := 0
	if s.shared() {
		held = cap(s.bytes)
	}
	if size > ordinaryStartBytes && !s.holder.Reserve(blmemory.KindStart, int64(size-held)) {
		return false
	}
	s.bytes = append(make([]byte, 0, size), s.bytes...)
	return true
}

package blserver

import (
	"io"
	"sync/atomic"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// headReader holds back what has been read behind the head of a request until the next
// read. One goroutine at a time reads.
type headReader struct {
	rest []byte
	// matched is the number of bytes of headEnd that the bytes returned last end with.
	matched  int
	buffered atomic.Bool
	// lines and bytes count what has been read of the current head, and complete is set
	// once it has been read to its end.
	lines, bytes int
	complete     bool
	// restarts is set if what is read next is another head, also if the end of the last
	// one wasn't found. Another goroutine than that which reads sets it.
	restarts atomic.Bool
}

// read fills the buffer from what was held back, or else from source. If splitting then
// reports so, it returns no bytes behind the head of a request.
func (h *headReader) read(source io.Reader, buffer []byte, splitting func() bool) (int, error) {
	var err error
	count := copy(buffer, h.rest)
	if count > 0 {
		h.rest = h.rest[count:]
	} else {
		count, err = source.Read(buffer)
	}
	end := count
	if splitting() {
		end = h.headLength(buffer[:count])
	}
	if end < count {
		// A later read reports the error again.
		h.rest, err = append(append([]byte(nil), buffer[end:count]...), h.rest...), nil
	}
	h.buffered.Store(len(h.rest) > 0)
	return end, err //nolint:wrapcheck // net/http reads the error
}

// headLength returns the number of bytes up to the end of a head, or all of them if
// none ends there.
func (h *headReader) headLength(text []byte) int {
	if h.restarts.Swap(false) || h.complete {
		h.lines, h.bytes, h.complete = 0, 0, false
	}
	for i, letter := range text {
		h.bytes++
		if letter == '\n' {
			h.lines++
		}
		switch letter {
		case headEnd[h.matched]:
			h.matched++
		case headEnd[0]:
			h.matched = 1
		default:
			h.matched = 0
		}
		if h.matched == len(headEnd) {
			h.matched, h.complete = 0, true
			return i + 1
		}
	}
	return len(text)
}

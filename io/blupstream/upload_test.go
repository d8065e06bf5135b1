package blupstream

import (
	"bytes"
	"io"
	"testing"
	"time"
)

const stallWait = 5 * time.Second

// reports collects what an upload reports.
type reports chan bool

func (r reports) report(stalled bool) bool {
	r <- stalled
	return true
}

// want waits for a report.
func (r reports) want(t *testing.T, want bool) {
	t.Helper()
	select {
	case got := <-r:
		if got != want {
			t.Errorf("report: got %t, want %t", got, want)
		}
	case <-time.After(stallWait):
		t.Errorf("report: got none, want %t", want)
	}
}

// TestStalledUploadIsReported guards against a body that holds its slot without a word to
// the duty, and against one that counts as stalled for good.
func TestStalledUploadIsReported(t *testing.T) {
	seen := make(reports, 1)
	reader, writer := io.Pipe()
	u := newUpload(reader, seen.report)
	defer u.stop()
	go func() { _, _ = io.Copy(io.Discard, u) }()
	_, _ = writer.Write([]byte("7"))
	seen.want(t, true)
	piece := bytes.Repeat([]byte("7"), minUploadBytes)
	ended := time.After(uploadCheckInterval + uploadCheckInterval/2)
	for arriving := true; arriving; {
		_, _ = writer.Write(piece)
		select {
		case <-ended:
			arriving = false
		case <-time.After(uploadCheckInterval / 100):
		}
	}
	seen.want(t, false)
}

// TestUploadThatWaitsForTheUpstreamIsntStalled guards against an upload that ends since its
// upstream doesn't take what has arrived, or is still at work on all of it.
func TestUploadThatWaitsForTheUpstreamIsntStalled(t *testing.T) {
	seen := make(reports, 1)
	unread, whole := newUpload(bytes.NewReader([]byte("7")), seen.report), newUpload(bytes.NewReader([]byte("7")), seen.report)
	defer unread.stop()
	defer whole.stop()
	_, _ = io.Copy(io.Discard, whole)
	select {
	case <-seen:
		t.Error("report: got one, want none")
	case <-time.After(uploadCheckInterval + uploadCheckInterval/2):
	}
}

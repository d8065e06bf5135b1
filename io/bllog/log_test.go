package bllog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotlead/io/bllog"
)

func ExampleRateLimiter() {
	limiter := bllog.NewRateLimiter(2)
	now := time.Unix(100, 0)
	for range 5 {
		fmt.Print(limiter.Allow("refused", now))
		fmt.Print(" ")
	}
	fmt.Println(limiter.Allow("refused", now.Add(time.Second)))
	// Output: true 0 true 0 false 0 false 0 false 0 true 3
}

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	bytes.Buffer

	release chan struct{}
}

func (o *blockedOutput) Write(line []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(line)
}

func TestWriterNeverBlocks(t *testing.T) {
	const lines = 5000
	output := &blockedOutput{release: make(chan struct{})}
	writer := bllog.NewWriter(output)
	writer.Start()
	started := time.Now()
	for range lines {
		if _, err := writer.Write([]byte("line\n")); err != nil {
			t.Fatalf("Write: got %v, want nil", err)
		}
	}
	if got := time.Since(started); got > time.Second {
		t.Errorf("time to write: got %v, want under 1 s", got)
	}
	close(output.release)
	writer.Stop()
	if got := output.String(); !strings.Contains(got, "lines lost") {
		t.Error("output: got no notice of lost lines, want one")
	}
}

package bllog

import (
	"io"
	"strconv"
	"sync/atomic"

	"bergamotlead/core/blring"
)

// lineCapacity is the number of lines that may wait for the output.
const lineCapacity = 1024

// Writer passes lines to an output that may be slow, on its own goroutine. It
// never blocks: a line that finds no room is counted and left out.
type Writer struct {
	lines  *blring.Ring[[]byte]
	output io.Writer
	lost   atomic.Uint64
	ended  chan struct{}
}

// NewWriter returns a writer to output. Start runs it.
func NewWriter(output io.Writer) *Writer {
	return &Writer{lines: blring.New[[]byte](lineCapacity), output: output, ended: make(chan struct{})}
}

// Write implements io.Writer for one line.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.TryPut(append([]byte(nil), line...)) != nil {
		w.lost.Add(1)
	}
	return len(line), nil
}

// Start runs the writer.
func (w *Writer) Start() {
	go w.run()
}

// Stop writes the lines that wait and ends.
func (w *Writer) Stop() {
	w.lines.Close()
	<-w.ended
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		line, err := w.lines.Take()
		if err != nil {
			return
		}
		if lost := w.lost.Swap(0); lost > 0 {
			note := `{"@level":"warn","@message":"lines lost","count":` + strconv.FormatUint(lost, 10) + "}\n"
			// There is nowhere else to tell of an output that fails.
			_, _ = io.WriteString(w.output, note)
		}
		_, _ = w.output.Write(line)
	}
}

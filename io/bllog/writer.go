package bllog

import (
	"io"
	"strconv"
	"sync/atomic"

	"bergamotlead/core/blring"
)

// lineCapacity is the number of lines buffered for the output.
const lineCapacity = 1024

// Writer is an asynchronous log writer: its own goroutine writes the lines to the
// output, which may be slow. Write never blocks. If the buffer is full, the line
// is dropped and counted.
type Writer struct {
	lines   *blring.Ring[[]byte]
	output  io.Writer
	dropped atomic.Uint64
	done    chan struct{}
}

// NewWriter returns a writer to output. Call Start to run it.
func NewWriter(output io.Writer) *Writer {
	return &Writer{lines: blring.New[[]byte](lineCapacity), output: output, done: make(chan struct{})}
}

// Write implements io.Writer. It takes one line per call.
func (w *Writer) Write(line []byte) (int, error) {
	if w.lines.TryPut(append([]byte(nil), line...)) != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Start starts the goroutine that writes to the output.
func (w *Writer) Start() {
	go w.run()
}

// Stop writes the buffered lines and stops the writer.
func (w *Writer) Stop() {
	w.lines.Close()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		line, err := w.lines.Take()
		if err != nil {
			return
		}
		if dropped := w.dropped.Swap(0); dropped > 0 {
			notice := `{"@level":"warn","@message":"lines lost","count":` + strconv.FormatUint(dropped, 10) + "}\n"
			// Errors are ignored: there is nowhere else to report that the log
			// output fails.
			_, _ = io.WriteString(w.output, notice)
		}
		_, _ = w.output.Write(line)
	}
}

package bltrace_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/grpc"

	"bergamotlead/io/bltrace"
)

// fakeCollector is an OTLP collector that counts the spans it receives.
type fakeCollector struct {
	collector.UnimplementedTraceServiceServer

	server *grpc.Server
	spans  atomic.Int64
}

func (f *fakeCollector) Export(
	_ context.Context, request *collector.ExportTraceServiceRequest,
) (*collector.ExportTraceServiceResponse, error) {
	for _, resource := range request.GetResourceSpans() {
		for _, scope := range resource.GetScopeSpans() {
			f.spans.Add(int64(len(scope.GetSpans())))
		}
	}
	return &collector.ExportTraceServiceResponse{}, nil
}

func (f *fakeCollector) run(listener net.Listener) {
	_ = f.server.Serve(listener)
}

func TestSpansAreExportedToFileAndCollector(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	fake := &fakeCollector{server: grpc.NewServer()}
	collector.RegisterTraceServiceServer(fake.server, fake)
	go fake.run(listener)
	defer fake.server.Stop()
	path := filepath.Join(t.TempDir(), "spans")
	tracer, err := bltrace.New(t.Context(), "host_1", bltrace.Target{File: path, Collector: listener.Addr().String()})
	if err != nil {
		t.Fatalf("New: got %v, want nil", err)
	}
	ctx, entry := tracer.Start(t.Context(), "entry", "", "request_1")
	parent := bltrace.TraceParent(ctx)
	_, hop := tracer.Start(context.Background(), "deliver", parent, "request_1")
	hop.End(nil)
	entry.End(nil)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := tracer.Stop(shutdownCtx); err != nil {
		t.Fatalf("Stop: got %v, want nil", err)
	}
	if got, want := fake.spans.Load(), int64(2); got != want {
		t.Errorf("spans at the collector: got %d, want %d", got, want)
	}
	text, err := os.ReadFile(path)
	trace := strings.Split(parent, "-")[1]
	if err != nil || strings.Count(string(text), trace) < 2 {
		t.Errorf("spans in the file: got %v and %q, want two spans of one trace", err, text)
	}
}

func TestWithoutTargetNoSpanIsRecorded(t *testing.T) {
	tracer, err := bltrace.New(t.Context(), "host_1", bltrace.Target{})
	if err != nil {
		t.Fatalf("New: got %v, want nil", err)
	}
	ctx, span := tracer.Start(t.Context(), "entry", "", "request_1")
	span.End(nil)
	if got := bltrace.TraceParent(ctx); got != "" {
		t.Errorf("parent: got %q, want none", got)
	}
}

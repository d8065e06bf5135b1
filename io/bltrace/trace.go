// Package bltrace records a span for each hop of a request.
package bltrace

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bergamotlead/core/blvalue"
)

const (
	traceParent = "traceparent"
	// fileMode lets the process's own user alone read the spans.
	fileMode = 0o600
)

// Tracer starts spans. Without a file it starts none.
type Tracer struct {
	tracer trace.Tracer
	stop   func(context.Context) error
}

// New returns a tracer that writes the spans of host to the file at path, as
// JSON. An empty path records nothing.
func New(host blvalue.HostName, path string) (*Tracer, error) {
	if path == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("bergamotlead"), stop: nothing}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, fmt.Errorf("create exporter: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("host.name", string(host)))),
	)
	stop := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		_ = file.Close()
		return err //nolint:wrapcheck // Stop wraps it
	}
	return &Tracer{tracer: provider.Tracer("bergamotlead"), stop: stop}, nil
}

func nothing(context.Context) error { return nil }

// Stop writes the spans that are left.
func (t *Tracer) Stop(ctx context.Context) error {
	if err := t.stop(ctx); err != nil {
		return fmt.Errorf("stop tracing: %w", err)
	}
	return nil
}

// Span is one hop of a request.
type Span struct {
	span trace.Span
}

// Start begins a span that continues the trace of parent, in the form of W3C
// Trace Context, or that of ctx when parent is empty.
func (t *Tracer) Start(ctx context.Context, name, parent, requestID string) (context.Context, Span) {
	if parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParent: parent})
	}
	ctx, span := t.tracer.Start(ctx, name)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", requestID))
	}
	return ctx, Span{span: span}
}

// Parent returns the trace of ctx in the form of W3C Trace Context, or empty.
func Parent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParent]
}

// With adds an attribute.
func (s Span) With(name, value string) Span {
	if s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(name, value))
	}
	return s
}

// End ends the span, as failed when there is a refusal.
func (s Span) End(refusal *blvalue.Refusal) {
	if refusal != nil && s.span.IsRecording() {
		s.span.SetStatus(codes.Error, refusal.String())
	}
	s.span.End()
}

// Package bltrace records an OpenTelemetry span for each hop of a request.
package bltrace

import (
	"context"
	"errors"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"bergamotlead/core/blvalue"
)

const (
	traceParentKey = "traceparent"
	tracerName     = "bergamotlead"
	// fileMode restricts the trace file to the user of the process.
	fileMode = 0o600
)

// Tracer starts spans. Without a target it records none.
type Tracer struct {
	tracer   trace.Tracer
	shutdown func(context.Context) error
}

// Target configures where spans are exported to. An empty field disables that
// exporter.
type Target struct {
	// File is the path of the file to which spans are appended as JSON.
	File string
	// Collector is the address of an OpenTelemetry collector that accepts OTLP
	// over gRPC.
	Collector string
}

// New returns a tracer that exports the spans of host to target.
func New(ctx context.Context, host blvalue.HostName, target Target) (*Tracer, error) {
	var options []sdktrace.TracerProviderOption
	closeFile := doNothing
	if target.File != "" {
		exporter, file, err := newFileExporter(target.File)
		if err != nil {
			return nil, err
		}
		closeFile = func(context.Context) error { return file.Close() }
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if target.Collector != "" {
		exporter, err := otlptracegrpc.New(ctx,
			otlptracegrpc.WithEndpoint(target.Collector), otlptracegrpc.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("create collector exporter: %w", err)
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if len(options) == 0 {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer(tracerName), shutdown: doNothing}, nil
	}
	options = append(options, sdktrace.WithResource(
		resource.NewSchemaless(attribute.String("service.name", tracerName), attribute.String("host.name", string(host)))))
	provider := sdktrace.NewTracerProvider(options...)
	shutdown := func(ctx context.Context) error { return errors.Join(provider.Shutdown(ctx), closeFile(ctx)) }
	return &Tracer{tracer: provider.Tracer(tracerName), shutdown: shutdown}, nil
}

func newFileExporter(path string) (*stdouttrace.Exporter, *os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, fmt.Errorf("create file exporter: %w", err)
	}
	return exporter, file, nil
}

func doNothing(context.Context) error { return nil }

// Stop exports the remaining spans and shuts the exporters down.
func (t *Tracer) Stop(ctx context.Context) error {
	if err := t.shutdown(ctx); err != nil {
		return fmt.Errorf("stop tracing: %w", err)
	}
	return nil
}

// Span covers one hop of a request.
type Span struct {
	span trace.Span
}

// Start starts a span whose parent is given by the traceparent value (W3C Trace
// Context) in parent, or is the span of ctx if parent is empty.
func (t *Tracer) Start(ctx context.Context, name, parent, requestID string) (context.Context, Span) {
	if parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentKey: parent})
	}
	ctx, span := t.tracer.Start(ctx, name)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("request.id", requestID))
	}
	return ctx, Span{span: span}
}

// TraceParent returns the traceparent value (W3C Trace Context) of the span of
// ctx, or the empty string if ctx has no span.
func TraceParent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentKey]
}

// With sets an attribute of the span and returns the span.
func (s Span) With(name, value string) Span {
	if s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(name, value))
	}
	return s
}

// End ends the span. A refusal sets its status to error.
func (s Span) End(refusal *blvalue.Refusal) {
	if refusal != nil && s.span.IsRecording() {
		s.span.SetStatus(codes.Error, refusal.String())
	}
	s.span.End()
}

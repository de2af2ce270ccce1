// Package trace sets up OpenTelemetry tracing with one span per hop. The W3C trace
// context links the spans of different hosts and backend servers.
package trace

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// sampleRatio is the fraction of requests without a sampled parent that are traced
// if an exporter is set. At 15,000 requests per second, tracing every request would
// exceed each host's budget of control traffic.
const sampleRatio = 0.01

// Config configures a Provider.
type Config struct {
	// URL is the address of an OTLP collector over HTTP; empty means no export.
	URL string
	// Host and Site are attributes of each span.
	Host, Site string
	// Processor, if not nil, receives every span. It is meant for the demo and
	// tests.
	Processor sdk.SpanProcessor
}

// Provider creates spans and exports them.
type Provider struct {
	tracer trace.Tracer
	sdk    *sdk.TracerProvider
}

// propagator reads and writes the traceparent header.
var propagator = propagation.TraceContext{}

// New returns a provider. Spans that can't be exported are dropped.
func New(ctx context.Context, cfg Config) (*Provider, error) {
	opts := []sdk.TracerProviderOption{
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "yuccalbd"),
			attribute.String("host.address", cfg.Host),
			attribute.String("site", cfg.Site),
		)),
	}
	sampler := sdk.TraceIDRatioBased(sampleRatio)
	if cfg.Processor != nil {
		sampler = sdk.AlwaysSample()
		opts = append(opts, sdk.WithSpanProcessor(cfg.Processor))
	}
	if cfg.URL != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.URL))
		if err != nil {
			return nil, fmt.Errorf("trace exporter %q: %w", cfg.URL, err)
		}
		opts = append(opts, sdk.WithBatcher(exporter))
	} else if cfg.Processor == nil {
		sampler = sdk.NeverSample()
	}
	opts = append(opts, sdk.WithSampler(sdk.ParentBased(sampler)))
	p := sdk.NewTracerProvider(opts...)
	return &Provider{tracer: p.Tracer("yuccalb"), sdk: p}, nil
}

// Start starts a span for one hop, which the caller must end.
func (p *Provider) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return p.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Close exports the buffered spans, at most until ctx ends, and stops the provider.
func (p *Provider) Close(ctx context.Context) error {
	if err := p.sdk.Shutdown(ctx); err != nil {
		return fmt.Errorf("close tracing: %w", err)
	}
	return nil
}

// Parent returns ctx with the trace context of a traceparent header value.
// A malformed value is ignored, as W3C Trace Context requires.
func Parent(ctx context.Context, traceparent string) context.Context {
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}

// Header returns the traceparent header value of the span in ctx, or "".
func Header(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

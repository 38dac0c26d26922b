// Package trace sets up the export of trace spans. Each hop of a request has one
// span. The trace context is sent in the W3C headers over HTTP and in the frames of
// peer links.
package trace

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/turmerictide/turmerictide/pkg/settings"
)

// Install exports all spans to the configured exporter. The returned function
// flushes and closes the exporter.
func Install(ctx context.Context, config settings.Trace, daemon settings.Daemon) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if config.Exporter == settings.ExporterNone {
		return func(context.Context) error { return nil }, nil
	}
	exporter, closeFile, err := newExporter(ctx, config)
	if err != nil {
		return nil, errors.Newf("open trace exporter: %w", err)
	}
	origin := resource.NewSchemaless(
		attribute.String("service.name", "turmerictided"),
		attribute.String("host.name", daemon.Host),
		attribute.String("availability_zone", daemon.AvailabilityZone),
	)
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter), sdktrace.WithResource(origin))
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		return errors.CombineErrors(provider.Shutdown(ctx), closeFile())
	}, nil
}

func newExporter(ctx context.Context, config settings.Trace) (sdktrace.SpanExporter, func() error, error) {
	if config.Exporter == settings.ExporterOTLP {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(config.Target))
		return exporter, func() error { return nil }, err
	}
	file, err := os.OpenFile(config.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, file.Close, err
}

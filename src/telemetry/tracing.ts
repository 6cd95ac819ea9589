/**
 * Traces: one span for each hop of a request, linked across processes by the W3C trace context. The `traceparent` of a hop is sent
 * with the request to the next process, which starts its own hop from it. Without an exporter, the caller's context is passed on
 * unchanged and nothing is recorded.
 *
 * @module
 */

import { ROOT_CONTEXT, type Span, SpanStatusCode, trace, type Tracer } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, type SpanExporter, TraceIdRatioBasedSampler } from "@opentelemetry/sdk-trace-node";
import type { Settings } from "../config/index.js";
import { FileSpanExporter } from "./fileExporter.js";
import { redact, redactText } from "./redact.js";

/** The spans of a request, outermost first. */
export type TraceSpanName = "entry.request" | "entry.queue" | "entry.attempt" | "sidecar.run" | "engine.request";

/** The attributes of a span. Callers' texts must not be included. */
export interface TraceSpanAttributes {
    readonly requestId?: string;
    readonly attemptId?: string;
    readonly organisation?: string;
    readonly serviceClass?: string;
    readonly service?: string;
    readonly upstreamId?: string;
    readonly epoch?: number;
    readonly status?: number;
    readonly code?: string;
    readonly execution?: string;
    readonly events?: number;
}

/** An active span. */
export interface TraceSpan {
    /** The W3C header for the next process; `undefined` if nothing is traced and the caller sent no header. */
    readonly traceparent: string | undefined;
    setAttributes(attributes: TraceSpanAttributes): void;
    /** Records an event within the span, such as the first token. */
    addEvent(name: string): void;
    /** Ends the span; `failure` is the error message of a failed span. Later calls do nothing. */
    end(failure?: string): void;
}

export interface Tracing {
    /** Starts a span under `parent`, the `traceparent` of the span or caller before it. */
    start(name: TraceSpanName, parent: string | undefined, attributes?: TraceSpanAttributes): TraceSpan;
    /** Exports the finished spans and shuts down. */
    close(): Promise<void>;
}

export interface TracingOptions extends Pick<Settings["telemetry"], "tracesFile" | "tracesUrl" | "tracesShare"> {
    readonly daemonId: string;
}

const traceparentPattern = /^[0-9a-f]{2}-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(?:-|$)/;
const exportIntervalMs = 500;

/** Returns the parent context of a span; a missing or malformed header starts a new trace, as the W3C specification requires. */
function parentContext(traceparent: string | undefined) {
    const match = traceparentPattern.exec(traceparent ?? "");
    if (!match) {
        return ROOT_CONTEXT;
    }
    const [, traceId, spanId, flags] = match;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId: traceId!, spanId: spanId!, traceFlags: parseInt(flags!, 16) & 1, isRemote: true });
}

function formatTraceparent(span: Span): string {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, "0")}`;
}

function createTraceSpan(span: Span): TraceSpan {
    return {
        traceparent: formatTraceparent(span),
        setAttributes(attributes) {
            span.setAttributes(redact(attributes) as TraceSpanAttributes & Record<string, string | number>);
        },
        addEvent(name) {
            span.addEvent(redactText(name));
        },
        end(failure) {
            if (failure !== undefined) {
                span.setStatus({ code: SpanStatusCode.ERROR, message: redactText(failure) });
            }
            span.end();
        },
    };
}

function createExporter(options: TracingOptions): SpanExporter | undefined {
    if (options.tracesFile !== undefined) {
        return new FileSpanExporter(options.tracesFile);
    }
    return options.tracesUrl === undefined ? undefined : new OTLPTraceExporter({ url: options.tracesUrl });
}

function startTraceSpan(
    tracer: Tracer, daemonId: string, name: TraceSpanName, parent: string | undefined, attributes: TraceSpanAttributes,
): TraceSpan {
    const traceSpan = createTraceSpan(tracer.startSpan(name, { attributes: { daemonId } }, parentContext(parent)));
    traceSpan.setAttributes(attributes);
    return traceSpan;
}

/** Creates tracing to the file or the collector in the settings; without either, hops only pass on the caller's context. */
export function createTracing(options: TracingOptions): Tracing {
    const exporter = createExporter(options);
    if (exporter === undefined) {
        return {
            start: (_name, parent) => ({ traceparent: parent, setAttributes() {}, addEvent() {}, end() {} }),
            async close() {},
        };
    }
    const provider = new NodeTracerProvider({
        sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.tracesShare) }),
        spanProcessors: [new BatchSpanProcessor(exporter, { scheduledDelayMillis: exportIntervalMs })],
    });
    const tracer = provider.getTracer("zinnialanding");
    return {
        start: (name, parent, attributes = {}) => startTraceSpan(tracer, options.daemonId, name, parent, attributes),
        close: () => provider.shutdown(),
    };
}

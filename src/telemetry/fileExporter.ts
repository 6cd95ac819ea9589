/**
 * Appends finished spans to a file, one JSON line each, for sites without a trace collector.
 *
 * @module
 */

import { appendFile } from "node:fs/promises";
import { type Attributes, type HrTime, SpanStatusCode } from "@opentelemetry/api";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-node";
import type { SpanRecord } from "./spanRecord.js";

type ExportCallback = Parameters<SpanExporter["export"]>[1];

/** Result codes of OpenTelemetry, copied because they are exported from a package that isn't a direct dependency. */
const exportSucceeded = 0;
const exportFailed = 1;

function toMs([seconds, nanoseconds]: HrTime): number {
    return Math.round(seconds * 1e6 + nanoseconds / 1e3) / 1e3;
}

function flattenAttributes(attributes: Attributes): SpanRecord["attributes"] {
    const entries = Object.entries(attributes).filter(([, value]) => value !== undefined);
    return Object.fromEntries(entries.map(([name, value]) => [name, typeof value === "object" ? JSON.stringify(value) : value!]));
}

function toRecord(span: ReadableSpan): SpanRecord {
    return {
        traceId: span.spanContext().traceId,
        spanId: span.spanContext().spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        name: span.name,
        startMs: toMs(span.startTime),
        durationMs: toMs(span.duration),
        failed: span.status.code === SpanStatusCode.ERROR,
        message: span.status.message,
        attributes: flattenAttributes(span.attributes),
        events: span.events.map(event => ({ name: event.name, atMs: toMs(event.time) })),
    };
}

/** Writes spans in the order in which they end. A failed write loses its batch; OpenTelemetry reports it, and requests are not affected. */
export class FileSpanExporter implements SpanExporter {
    private pendingWrites: Promise<void> = Promise.resolve();

    constructor(private readonly file: string) {}

    export(spans: ReadableSpan[], callback: ExportCallback) {
        const lines = spans.map(span => `${JSON.stringify(toRecord(span))}\n`).join("");
        this.pendingWrites = this.pendingWrites
            .then(() => appendFile(this.file, lines))
            .then(() => callback({ code: exportSucceeded }), (error: Error) => callback({ code: exportFailed, error }));
    }

    forceFlush(): Promise<void> {
        return this.pendingWrites;
    }

    shutdown(): Promise<void> {
        return this.pendingWrites;
    }
}

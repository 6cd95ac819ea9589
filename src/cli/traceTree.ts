/**
 * Builds the tree of one request's hops from the traces files of several daemons. Children are sorted by start time; because the
 * clocks of daemons differ, their order and their start times relative to the parent are approximate.
 *
 * @module
 */

import type { SpanRecord } from "../telemetry/index.js";

export interface TraceNode {
    readonly span: SpanRecord;
    readonly children: readonly TraceNode[];
}

function buildTree(span: SpanRecord, spans: readonly SpanRecord[]): TraceNode {
    const children = spans.filter(other => other.parentSpanId === span.spanId).sort((a, b) => a.startMs - b.startMs);
    return { span, children: children.map(child => buildTree(child, spans)) };
}

/** Returns the trees of every trace that contains a hop with this request id; a hop whose parent isn't in `spans` is a root. */
export function findTrace(requestId: string, spans: readonly SpanRecord[]): TraceNode[] {
    const traceIds = new Set(spans.filter(span => span.attributes.requestId === requestId).map(span => span.traceId));
    const matchingSpans = spans.filter(span => traceIds.has(span.traceId));
    const spanIds = new Set(matchingSpans.map(span => span.spanId));
    const roots = matchingSpans.filter(span => span.parentSpanId === undefined || !spanIds.has(span.parentSpanId));
    return roots.sort((a, b) => a.startMs - b.startMs).map(root => buildTree(root, matchingSpans));
}

function describeSpan({ name, durationMs, failed, message, attributes, events, startMs }: SpanRecord): string {
    const labels = Object.entries(attributes).map(([label, value]) => `${label}=${value}`);
    const eventTexts = events.map(event => `${event.name}@+${(event.atMs - startMs).toFixed(1)}ms`);
    const failureTexts = failed ? [`failed: ${message ?? "no reason given"}`] : [];
    return [name, `${durationMs.toFixed(1)}ms`, ...labels, ...eventTexts, ...failureTexts].join(" ");
}

function formatNode(node: TraceNode, indent: string, connector: string): string[] {
    const childIndent = connector === "" ? "" : `${indent}${connector === "└─ " ? "   " : "│  "}`;
    return [
        `${indent}${connector}${describeSpan(node.span)}`,
        ...node.children.flatMap((child, index) => formatNode(child, childIndent, index === node.children.length - 1 ? "└─ " : "├─ ")),
    ];
}

export function formatTrace(nodes: readonly TraceNode[]): string {
    return nodes.flatMap(node => formatNode(node, "", "")).join("\n");
}

/**
 * What telemetry sees of one request at the entry: a span for the request, for each wait for a turn and for each attempt, and the
 * counters and distributions of its class. It decides nothing, and a failure of telemetry never reaches the request.
 *
 * @module
 */

import type { RequestEffect } from "../attempt/index.js";
import type { CounterName, Hop, Metrics, Tracing } from "../telemetry/index.js";
import type { Problem } from "./problem.js";
import type { Ask } from "./ask.js";

export interface ObserverOptions {
    readonly tracing: Tracing;
    readonly metrics: Metrics;
    readonly nowMs: () => number;
}

export type RequestCounter = Extract<RequestEffect, { kind: "count" }>["name"];

/** Deliveries and refusals are counted with their class, where the caller sees them. */
const counters: Readonly<Partial<Record<RequestCounter, CounterName>>> = {
    retried: "entry.retries",
    resumed: "entry.resumes",
    continued: "entry.continuations",
    detached: "entry.detached",
    "late-event-dropped": "entry.late_events",
    "duplicate-event-dropped": "entry.duplicate_events",
    "gap-seen": "entry.gaps",
};

export interface RequestObserver {
    count(name: RequestCounter): void;
    /** The request waits for its turn and an upstream. */
    waits(): void;
    /** The wait is over, with an upstream or without. */
    waited(): void;
    /** Gives the trace context that goes with the dispatch. */
    dispatched(attemptId: string, upstreamId: string): string | undefined;
    /** A chunk came from the upstream. */
    chunk(): void;
    attemptEnded(failure?: string): void;
    delivered(): void;
    refused(problem: Problem): void;
    close(): void;
}

/** Starts observing a request that has just come in. */
export function observeRequest({ tracing, metrics, nowMs }: ObserverOptions, ask: Ask, requestId: string): RequestObserver {
    const organisation = ask.organisation.name;
    const serviceClass = ask.serviceClass.name;
    const tags = { organisation, serviceClass };
    const startedMs = nowMs();
    const request = tracing.start("entry.request", ask.traceparent, { requestId, organisation, serviceClass, service: ask.service.name });
    let wait: Hop | undefined;
    let waitedFromMs = startedMs;
    let attempt: Hop | undefined;
    let firstChunkMs: number | undefined;
    let failure: string | undefined;
    metrics.count("entry.requests", tags);

    return {
        count(name) {
            const counter = counters[name];
            if (counter !== undefined) {
                metrics.count(counter, tags);
            }
        },
        waits() {
            waitedFromMs = nowMs();
            wait = tracing.start("entry.queue", request.traceparent);
        },
        waited() {
            wait?.end();
            wait = undefined;
            metrics.distribution("entry.queue_ms", nowMs() - waitedFromMs, tags);
        },
        dispatched(attemptId, upstreamId) {
            metrics.count("entry.attempts", tags);
            attempt?.end("given up");
            attempt = tracing.start("entry.attempt", request.traceparent, { attemptId, upstreamId });
            return attempt.traceparent;
        },
        chunk() {
            if (firstChunkMs === undefined) {
                firstChunkMs = nowMs() - startedMs;
                request.mark("first-token");
                metrics.distribution("entry.first_token_ms", firstChunkMs, tags);
            }
        },
        attemptEnded(reason) {
            attempt?.end(reason);
            attempt = undefined;
        },
        delivered() {
            const answerMs = nowMs() - startedMs;
            metrics.count("entry.delivered", tags);
            metrics.distribution("entry.answer_ms", answerMs, tags);
            if ((firstChunkMs ?? answerMs) > ask.serviceClass.latenessMs) {
                metrics.count("entry.late", tags);
            }
        },
        refused({ code, execution }) {
            failure = code;
            request.label({ code, execution });
            metrics.count(execution === "not-run" ? "entry.refused" : execution === "ran" ? "entry.failed" : "entry.unknown", { ...tags, code, execution });
        },
        close() {
            wait?.end("request over");
            attempt?.end("request over");
            request.end(failure);
        },
    };
}

/**
 * Telemetry of one request at the entry: a span for the request, for each wait in the queue and for each attempt, and the counters and
 * distributions of its class. Makes no decisions, and a telemetry failure never affects the request.
 *
 * @module
 */

import type { RequestEffect } from "../attempt/index.js";
import type { CounterName, TraceSpan, Metrics, Tracing } from "../telemetry/index.js";
import type { Problem } from "./problem.js";
import type { CallerRequest } from "./callerRequest.js";

export interface ObserverOptions {
    readonly tracing: Tracing;
    readonly metrics: Metrics;
    readonly nowMs: () => number;
}

export type RequestCounter = Extract<RequestEffect, { kind: "count" }>["name"];

/** Deliveries and refusals are missing here: `delivered` and `refused` count them when the caller is answered. */
const counterNames: Readonly<Partial<Record<RequestCounter, CounterName>>> = {
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
    /** The request starts waiting for admission and an upstream. */
    waitStarted(): void;
    /** The wait has ended, with or without an upstream. */
    waitEnded(): void;
    /** Starts the span of an attempt and returns the trace context to send with it. */
    attemptStarted(attemptId: string, upstreamId: string): string | undefined;
    /** A chunk has arrived from the upstream. */
    chunkReceived(): void;
    attemptEnded(failure?: string): void;
    delivered(): void;
    refused(problem: Problem): void;
    close(): void;
}

/** Starts observing a request that has just arrived. */
export function observeRequest(
    { tracing, metrics, nowMs }: ObserverOptions, callerRequest: CallerRequest, requestId: string,
): RequestObserver {
    const organisation = callerRequest.organisation.name;
    const serviceClass = callerRequest.serviceClass.name;
    const tags = { organisation, serviceClass };
    const startedMs = nowMs();
    const requestSpan = tracing.start("entry.request", callerRequest.traceparent, {
        requestId, organisation, serviceClass, service: callerRequest.service.name,
    });
    let waitSpan: TraceSpan | undefined;
    let waitStartedMs = startedMs;
    let attemptSpan: TraceSpan | undefined;
    let firstChunkMs: number | undefined;
    let failure: string | undefined;
    metrics.count("entry.requests", tags);

    return {
        count(name) {
            const counter = counterNames[name];
            if (counter !== undefined) {
                metrics.count(counter, tags);
            }
        },
        waitStarted() {
            waitStartedMs = nowMs();
            waitSpan = tracing.start("entry.queue", requestSpan.traceparent);
        },
        waitEnded() {
            waitSpan?.end();
            waitSpan = undefined;
            metrics.distribution("entry.queue_ms", nowMs() - waitStartedMs, tags);
        },
        attemptStarted(attemptId, upstreamId) {
            metrics.count("entry.attempts", tags);
            attemptSpan?.end("given up");
            attemptSpan = tracing.start("entry.attempt", requestSpan.traceparent, { attemptId, upstreamId });
            return attemptSpan.traceparent;
        },
        chunkReceived() {
            if (firstChunkMs === undefined) {
                firstChunkMs = nowMs() - startedMs;
                requestSpan.addEvent("first-token");
                metrics.distribution("entry.first_token_ms", firstChunkMs, tags);
            }
        },
        attemptEnded(reason) {
            attemptSpan?.end(reason);
            attemptSpan = undefined;
        },
        delivered() {
            const answerMs = nowMs() - startedMs;
            metrics.count("entry.delivered", tags);
            metrics.distribution("entry.answer_ms", answerMs, tags);
            if ((firstChunkMs ?? answerMs) > callerRequest.serviceClass.latenessMs) {
                metrics.count("entry.late", tags);
            }
        },
        refused({ code, execution }) {
            failure = code;
            requestSpan.setAttributes({ code, execution });
            metrics.count(execution === "not-run" ? "entry.refused" : execution === "ran" ? "entry.failed" : "entry.unknown", { ...tags, code, execution });
        },
        close() {
            waitSpan?.end("request over");
            attemptSpan?.end("request over");
            requestSpan.end(failure);
        },
    };
}

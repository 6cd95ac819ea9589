/**
 * One attempt at the upstream: reads the answer into the attempt's event log and wakes the connections that stream it.
 *
 * @module
 */

import { type EventLogEvent, type EventLogState, type LoggedEvent, newEventLog, reduceEventLog } from "../attempt/index.js";
import { parseRetryAfterMs } from "../http/index.js";
import type { RunRequest } from "../rpc/index.js";
import type { TraceSpan, Tracing } from "../telemetry/index.js";
import type { Engine } from "./engine.js";
import { runUpstream, UpstreamError, type UpstreamEvent } from "./upstream.js";

export interface JobOptions {
    readonly nowMs: () => number;
    readonly tracing: Tracing;
    readonly onFirstToken: (latencyMs: number) => void;
    /** Called when the upstream has turned the request away and wants no others for `forMs`. */
    readonly onPushback: (forMs: number) => void;
    /** Called when the upstream broke the answer off. The log is still open. */
    readonly onBroken: (detail: string) => void;
    /** Called once the log and the connection to the upstream are closed. */
    /** Called before `onFinished` if the answer is complete. */
    readonly onCompleted: () => void;
    readonly onFinished: () => void;
}

/** A connection that streams the job's events. */
export interface Reader {
    /** Resolves on the next event, or with `quiet` after `quietMs` without one. */
    wait(quietMs: number, signal: AbortSignal): Promise<"event" | "quiet">;
    close(): void;
}

export interface Job {
    readonly attemptId: string;
    readonly request: RunRequest;
    readonly log: EventLogState;
    /** Sends the request and reads the answer to its end. */
    run(): Promise<void>;
    append(event: LoggedEvent): void;
    acknowledge(throughSequence: number): void;
    openReader(): Reader;
    /** Whether the last event has been handed to a connection. */
    isRead: boolean;
    /** The time since the last reader closed; 0 while a reader is open. */
    unreadMs(): number;
    /** Aborts the work at the upstream. */
    abort(): void;
}

/** Creates the job. `run` starts it. */
export function createJob(request: RunRequest, engine: Engine, options: JobOptions): Job {
    const { nowMs } = options;
    const abortController = new AbortController();
    const wakeCallbacks = new Set<() => void>();
    let log = newEventLog();
    let openReaders = 0;
    let unreadSinceMs = nowMs();
    let resumeReading: (() => void) | undefined;

    function apply(event: EventLogEvent) {
        const result = reduceEventLog(log, event);
        log = result.state;
        for (const effect of result.effects) {
            if (effect.kind === "wake-readers") {
                [...wakeCallbacks].forEach(wake => wake());
            }
            if (effect.kind === "go-on-reading") {
                resumeReading?.();
            }
        }
    }

    function append(event: LoggedEvent) {
        apply({ kind: "append", event });
    }

    /** Applies backpressure to the upstream while the log is full. An abort ends the wait. */
    async function waitWhileFull() {
        if (!log.paused || abortController.signal.aborted) {
            return;
        }
        await new Promise<void>(resolve => {
            resumeReading = resolve;
        });
    }

    function reportPushback({ status, headers }: Extract<UpstreamEvent, { kind: "started" }>) {
        const pushbackMs = parseRetryAfterMs(status, name => headers.find(header => header.name === name)?.value);
        if (pushbackMs !== undefined) {
            options.onPushback(pushbackMs);
        }
    }

    async function readAnswer(span: TraceSpan) {
        const startedMs = nowMs();
        let chunks = 0;
        let bytes = 0;
        for await (const event of runUpstream(engine, { ...request, traceparent: span.traceparent ?? "" }, abortController.signal)) {
            if (event.kind === "started") {
                append({ kind: "started", head: { status: event.status, headers: event.headers } });
                reportPushback(event);
                continue;
            }
            if (chunks === 0) {
                span.addEvent("first-token");
                options.onFirstToken(nowMs() - startedMs);
            }
            chunks++;
            bytes += event.data.length;
            append({ kind: "chunk", data: event.data });
            await waitWhileFull();
        }
        append({ kind: "end", chunks, bytes });
        options.onCompleted();
    }

    /** Reads the answer in a separate span that covers the upstream's share. */
    async function readTraced(parent: string | undefined) {
        const span = options.tracing.start("engine.request", parent);
        try {
            await readAnswer(span);
            span.end();
        }
        catch (error) {
            span.end(error instanceof Error ? error.message : "broke off");
            throw error;
        }
    }

    async function run() {
        const { attemptId, requestId, upstreamId, organisation, serviceClass } = request;
        const labels = { attemptId, requestId, upstreamId, organisation, serviceClass, epoch: Number(request.epoch) };
        const span = options.tracing.start("sidecar.run", request.traceparent === "" ? undefined : request.traceparent, labels);
        try {
            await readTraced(span.traceparent);
            span.end();
        }
        catch (error) {
            span.end(error instanceof Error ? error.name : "failed");
            const detail = error instanceof Error ? error.message : String(error);
            const mayHaveReached = !(error instanceof UpstreamError) || error.mayHaveReached;
            if (!mayHaveReached) {
                append({ kind: "failure", code: "upstream-unreachable", execution: "not-run", retryAfterMs: 0, detail });
            }
            else if (!log.closed && !abortController.signal.aborted) {
                options.onBroken(detail);
                return;
            }
            else {
                append({ kind: "failure", code: "incomplete-answer", execution: "unknown", retryAfterMs: 0, detail });
            }
        }
        options.onFinished();
    }

    function openReader(): Reader {
        let wake: (() => void) | undefined;
        const onEvent = () => wake?.();
        wakeCallbacks.add(onEvent);
        openReaders++;
        return {
            wait(quietMs, signal) {
                return new Promise(resolve => {
                    const timer = setTimeout(() => finish("quiet"), quietMs);
                    const finish = (outcome: "event" | "quiet") => {
                        clearTimeout(timer);
                        signal.removeEventListener("abort", stop);
                        wake = undefined;
                        resolve(outcome);
                    };
                    const stop = () => finish("event");
                    wake = stop;
                    signal.addEventListener("abort", stop, { once: true });
                });
            },
            close() {
                wakeCallbacks.delete(onEvent);
                openReaders--;
                unreadSinceMs = nowMs();
            },
        };
    }

    return {
        attemptId: request.attemptId,
        request,
        isRead: false,
        get log() {
            return log;
        },
        run,
        append,
        acknowledge: throughSequence => apply({ kind: "acknowledge", throughSequence }),
        openReader,
        unreadMs: () => openReaders > 0 ? 0 : nowMs() - unreadSinceMs,
        abort() {
            abortController.abort();
            resumeReading?.();
        },
    };
}

/**
 * The imperative shell around the sidecar's attempt reducers: starts attempts at the upstream, keeps their events for resumption, and
 * streams them to any connection that requests them. An attempt outlives the connection that started it.
 *
 * @module
 */

import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { StartLimiter } from "../admission/index.js";
import {
    type AdmissionContext, type EventLogState, eventsFrom, type LoggedEvent, newRegistry, reduceRegistry, type RegistryEffect,
    type RegistryEvent, type TombstoneState,
} from "../attempt/index.js";
import {
    type AcknowledgeRequest, type ResumeRequest, type RunEvent, RunEventSchema, type RunRequest, type TombstoneRequest,
} from "../rpc/index.js";
import type { Tracing } from "../telemetry/index.js";
import type { Engine } from "./engine.js";
import { createJob, type Job } from "./job.js";
import { toRunEvent } from "./runEvents.js";

/** The heartbeat interval of an idle stream, well below the silence timeout of entries. */
const heartbeatIntervalMs = 300;
const sweepIntervalMs = 1_000;
/** How long the events of an ended attempt are kept for a reader that lost its connection. */
const endedRetentionMs = 30_000;
/** Idempotent work that nobody has read for this long is cancelled, because its entry is presumed dead. */
const orphanTimeoutMs = 15_000;

export interface AttemptsOptions {
    readonly bootId: string;
    readonly engine: () => Engine;
    readonly limiter: () => StartLimiter;
    readonly nowMs: () => number;
    readonly tracing: Tracing;
    /** Records the start of an attempt in the metrics. */
    readonly onStarted: () => void;
    /** Records the latency of an attempt's first token in the metrics. */
    readonly onFirstToken: (latencyMs: number) => void;
    /** Returns the state of the sidecar that decides whether an attempt may start. */
    readonly admissionContext: (request: RunRequest) => Omit<AdmissionContext, "pushbackLeftMs">;
    /** Whether an answer of this epoch may be forwarded now. */
    readonly mayForward: (epoch: number) => boolean;
    readonly reportCrash: (crash: Extract<RegistryEffect, { kind: "report-crash" }>) => void;
    /** Called when the upstream has completed an answer. */
    readonly onCompleted: (request: RunRequest) => void;
    readonly onIdle: () => void;
}

export interface Attempts {
    run(request: RunRequest, signal: AbortSignal): AsyncIterable<RunEvent>;
    resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<RunEvent>;
    tombstone(request: TombstoneRequest): TombstoneState;
    acknowledge(request: AcknowledgeRequest): void;
    /** Fails the attempts of one epoch because a replica member is missing. */
    endEpoch(epoch: number): void;
    /** Records the engine's boot id, which is undefined while the engine does not answer, and whether its process has ended. */
    engineObserved(bootId: string | undefined, isGone: boolean): void;
    readonly running: number;
    /** Whether nothing runs and every answer has been read or dropped. */
    readonly isIdle: boolean;
    stop(): void;
}

/** Creates an empty set of attempts and starts its periodic sweep. */
export function createAttempts(options: AttemptsOptions): Attempts {
    const { nowMs, limiter } = options;
    const jobs = new Map<string, Job>();
    let registry = newRegistry(options.bootId, nowMs());
    let engineBootId: string | undefined;
    /** Until then the upstream wants no requests. */
    let pushbackUntilMs = 0;

    function apply(event: RegistryEvent, request?: RunRequest): readonly RegistryEffect[] {
        const result = reduceRegistry(registry, event);
        registry = result.state;
        return result.effects.flatMap(effect => [effect, ...perform(effect, request)]);
    }

    function perform(effect: RegistryEffect, request: RunRequest | undefined): readonly RegistryEffect[] {
        switch (effect.kind) {
            case "ask-limiter":
                return requestStart(effect.attemptId, request!);
            case "start":
                start(request!);
                return [];
            case "abort":
                jobs.get(effect.attemptId)?.abort();
                return [];
            case "fail":
                failAttempt(effect.attemptId, {
                    kind: "failure", code: effect.code, execution: effect.execution, retryAfterMs: 0, detail: effect.engineBootId,
                });
                return [];
            case "report-crash":
                options.reportCrash(effect);
                return [];
            case "attach":
            case "refuse":
            case "answer-tombstone":
                return [];
        }
    }

    function requestStart(attemptId: string, request: RunRequest): readonly RegistryEffect[] {
        const decision = limiter().tryStart(nowMs(), attemptId);
        const answer = decision.admitted ? decision : { ...decision, cold: limiter().limit <= limiter().running };
        return apply({ kind: "start-answered", nowMs: nowMs(), attemptId, answer }, request);
    }

    function start(request: RunRequest) {
        const { attemptId } = request;
        const job = createJob(request, options.engine(), {
            nowMs,
            tracing: options.tracing,
            onFirstToken(latencyMs) {
                limiter().firstToken(nowMs(), attemptId, latencyMs);
                options.onFirstToken(latencyMs);
            },
            onPushback(forMs) {
                pushbackUntilMs = Math.max(pushbackUntilMs, nowMs() + forMs);
            },
            onBroken: detail => void answerBroken(job, detail),
            onCompleted: () => options.onCompleted(request),
            onFinished: () => finishAttempt(attemptId),
        });
        jobs.set(attemptId, job);
        options.onStarted();
        void job.run();
    }

    function finishAttempt(attemptId: string) {
        limiter().ended(nowMs(), attemptId);
        apply({ kind: "ended", nowMs: nowMs(), attemptId });
        notifyIfIdle();
    }

    /** Includes unread answers: a planned stop must not lose an answer that has ended here but has not been delivered. */
    function isIdle(): boolean {
        return registry.live.size === 0 && [...jobs.values()].every(job => job.isRead);
    }

    function notifyIfIdle() {
        if (isIdle()) {
            options.onIdle();
        }
    }

    function failAttempt(attemptId: string, failure: LoggedEvent) {
        const job = jobs.get(attemptId);
        job?.append(failure);
        job?.abort();
    }

    /**
     * Handles an answer that the upstream broke off. What the entry may do depends on whether the engine process ended: after a crash each
     * request in flight is a suspect. A poll already in progress may still report the old process, so a second poll follows it.
     */
    async function answerBroken(job: Job, detail: string) {
        await options.engine().poll();
        await options.engine().poll();
        job.append({ kind: "failure", code: "incomplete-answer", execution: "unknown", retryAfterMs: 0, detail });
        finishAttempt(job.attemptId);
    }

    function engineLost() {
        const lostBootId = engineBootId!;
        engineBootId = undefined;
        apply({ kind: "engine-lost", nowMs: nowMs(), engineBootId: lostBootId });
    }

    function engineObserved(bootId: string | undefined, isGone: boolean) {
        const isNewBoot = bootId !== undefined && bootId !== engineBootId;
        if (engineBootId !== undefined && (isNewBoot || isGone)) {
            engineLost();
        }
        if (isNewBoot) {
            engineBootId = bootId;
            limiter().engineBoot(bootId, nowMs());
        }
    }

    function heartbeat(): RunEvent {
        const value = { running: limiter().running, capacity: limiter().limit };
        return create(RunEventSchema, { event: { case: "heartbeat", value } });
    }

    /** Streams the events of an attempt from a sequence number until the last one, with heartbeats in between. */
    async function* stream(job: Job, fromSequence: number, signal: AbortSignal): AsyncGenerator<RunEvent> {
        const reader = job.openReader();
        job.isRead = false;
        let nextSequence = fromSequence;
        try {
            yield heartbeat();
            while (!signal.aborted) {
                const events = eventsFrom(job.log, nextSequence);
                if (events === undefined) {
                    throw new ConnectError("the events are gone", Code.NotFound);
                }
                for (const event of events) {
                    // The member leases are checked as late as possible: an event produced under live leases must not be forwarded after
                    // they expire.
                    const mayForward = event.kind === "failure" || options.mayForward(Number(job.request.epoch));
                    yield toRunEvent(nextSequence, mayForward ? event : closingFailure(job.log), limiter());
                    nextSequence++;
                    if (!mayForward || event.kind === "end" || event.kind === "failure") {
                        job.isRead = true;
                        notifyIfIdle();
                        return;
                    }
                }
                if (events.length === 0 && await reader.wait(heartbeatIntervalMs, signal) === "quiet") {
                    yield heartbeat();
                }
            }
        }
        finally {
            reader.close();
        }
    }

    async function* run(request: RunRequest, signal: AbortSignal): AsyncGenerator<RunEvent> {
        const { attemptId, sidecarBootId, deadlineMs, idempotent, fingerprint, sharedParts, suspect } = request;
        const epoch = Number(request.epoch);
        const dispatch = { attemptId, sidecarBootId, epoch, deadlineMs, idempotent, fingerprint, sharedParts, suspect };
        const admission = { ...options.admissionContext(request), pushbackLeftMs: Math.max(0, Math.ceil(pushbackUntilMs - nowMs())) };
        const effects = apply({ kind: "run", nowMs: nowMs(), dispatch, admission }, request);
        const refusal = effects.find(effect => effect.kind === "refuse");
        if (refusal !== undefined) {
            const { code, execution, retryAfterMs } = refusal;
            yield toRunEvent(1, { kind: "failure", code, execution, retryAfterMs, detail: "" }, limiter());
            return;
        }
        yield* stream(jobOf(attemptId), 1, signal);
    }

    function jobOf(attemptId: string): Job {
        const job = jobs.get(attemptId);
        if (job === undefined) {
            throw new ConnectError("the attempt is not known here", Code.NotFound);
        }
        return job;
    }

    async function* resume(request: ResumeRequest, signal: AbortSignal): AsyncGenerator<RunEvent> {
        if (request.sidecarBootId !== options.bootId) {
            throw new ConnectError("the sidecar was restarted", Code.NotFound);
        }
        yield* stream(jobOf(request.attemptId), Number(request.fromSequence), signal);
    }

    function sweep() {
        for (const [attemptId, job] of jobs) {
            const unreadMs = job.unreadMs();
            if (job.log.closed && unreadMs > endedRetentionMs) {
                jobs.delete(attemptId);
            }
            if (!job.log.closed && unreadMs > orphanTimeoutMs) {
                apply({ kind: "cancel", nowMs: nowMs(), attemptId });
            }
        }
        apply({ kind: "sweep", nowMs: nowMs() });
        notifyIfIdle();
    }

    const timer = setInterval(sweep, sweepIntervalMs);
    timer.unref();
    return {
        run,
        resume,
        tombstone({ attemptId, sidecarBootId }) {
            const effects = apply({ kind: "tombstone", nowMs: nowMs(), attemptId, bootId: sidecarBootId });
            return effects.find(effect => effect.kind === "answer-tombstone")!.state;
        },
        acknowledge({ attemptId, throughSequence, cancel }) {
            jobs.get(attemptId)?.acknowledge(Number(throughSequence));
            if (cancel) {
                apply({ kind: "cancel", nowMs: nowMs(), attemptId });
            }
        },
        endEpoch(epoch) {
            const jobsOfEpoch = [...registry.live.keys()].map(attemptId => jobs.get(attemptId))
                .filter(job => job !== undefined && Number(job.request.epoch) === epoch);
            jobsOfEpoch.forEach(job => failAttempt(job!.attemptId, memberMissingFailure));
        },
        engineObserved,
        get running() {
            return registry.live.size;
        },
        get isIdle() {
            return isIdle();
        },
        stop: () => clearInterval(timer),
    };
}

const memberMissingFailure: LoggedEvent = { kind: "failure", code: "member-missing", execution: "unknown", retryAfterMs: 0, detail: "" };

/** Returns the failure that ends an answer which must not be forwarded any further. */
function closingFailure(log: EventLogState): LoggedEvent {
    const last = log.kept.at(-1);
    return last?.kind === "failure" ? last : memberMissingFailure;
}

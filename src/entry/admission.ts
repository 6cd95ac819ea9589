/**
 * Admission of callers' requests at an entry. Combines one queue per service with the router and the retry budget, and exposes their
 * decisions as promises. A request enters once, requests an upstream for each attempt, reports how each attempt ended, and is closed.
 *
 * @module
 */

import {
    FairDeadlineQueue, type QueueEffect, type QueueEvent, type QueueRefusal, type RequestQueue, RetryBudget, jitteredRetryAfterMs,
} from "../admission/index.js";
import type { Configuration } from "../cluster/index.js";
import { type RoutedUpstream, UpstreamRouter } from "../routing/index.js";

/** The properties of a request that admission and routing depend on. */
export interface IncomingRequest {
    readonly id: string;
    readonly organisation: string;
    readonly serviceClass: string;
    readonly service: string;
    readonly model: string | undefined;
    /** Requests with the same key share a prompt prefix. */
    readonly prefixKey: string | undefined;
    /** The lateness target of the request's class: the time from now until its first token is due. */
    readonly latenessMs: number;
    /** The deadline of the request's class, counted from now. */
    readonly deadlineMs: number;
    /** The estimated amount of work, in a unit shared by all requests of a service. */
    readonly work: number;
}

/** Why a request is not assigned an upstream. No upstream has received anything of this attempt. */
export type AdmissionRefusal = QueueRefusal | "no-upstream" | "retry-budget-spent";

export type Admission =
    | { readonly kind: "upstream"; readonly upstreamId: string }
    | { readonly kind: "refused"; readonly code: AdmissionRefusal; readonly retryAfterMs: number };

/** How an attempt ended for its upstream. `released`: for a reason unrelated to the upstream, such as a disconnected caller. */
export type AttemptOutcome = "answered" | "refused" | "failed" | "released";

/** Tracks one request from its entry into admission until it is closed. */
export interface AdmissionTicket {
    /**
     * Resolves with an upstream for the next attempt once one has capacity, or with a refusal. A retry after a failure spends the retry
     * budget. A retry after a refusal does not, because the refusing sidecar did no work and is avoided for longer each time.
     */
    choose(exclude: ReadonlySet<string>, isRetry: boolean): Promise<Admission>;
    /** Records the arrival of a token of the current attempt. */
    tokenReceived(): void;
    /** Records a load report that arrived with the current attempt's answer. */
    loadReported(running: number, capacity: number): void;
    attemptEnded(outcome: AttemptOutcome, retryAfterMs?: number): void;
    /** Ends the request, whatever its outcome. Further calls have no effect. */
    close(): void;
}

export interface EntryAdmission {
    enter(request: IncomingRequest): AdmissionTicket;
    /** The number of queued requests over all services. */
    readonly queued: number;
    /** Reconsiders the queued requests. Called by a timer. */
    tick(): void;
    stop(): void;
}

export interface EntryAdmissionOptions {
    readonly entryId: string;
    readonly dataCentre: string;
    /** Returns the newest view of the session. Its parts are compared by identity. */
    readonly view: () => { readonly upstreams: ReadonlyMap<string, RoutedUpstream>; readonly configuration: Configuration };
    readonly maxQueued: number;
    readonly nowMs: () => number;
    readonly random: () => number;
    /** Counts a refusal. */
    readonly countRefusal: (code: AdmissionRefusal, service: string) => void;
    readonly createQueue?: () => RequestQueue;
    readonly router?: UpstreamRouter;
}

const tickMs = 25;
const noUpstreamRetryMs = 1_000;
/** Shorter answers are too noisy an estimate of an upstream's token latency. */
const minMeasuredTokens = 8;

interface WaitingRequest {
    readonly request: IncomingRequest;
    readonly dueMs: number;
    readonly exclude: ReadonlySet<string>;
    resolve: ((admission: Admission) => void) | undefined;
}

interface ServiceState {
    readonly queue: RequestQueue;
    readonly waiting: Map<string, WaitingRequest>;
}

type QueueEventBody = QueueEvent extends infer Event ? Event extends QueueEvent ? Omit<Event, "nowMs" | "random"> : never : never;

/** Creates the admission of one entry. */
export function createEntryAdmission(options: EntryAdmissionOptions): EntryAdmission {
    const { nowMs, random, countRefusal } = options;
    const router = options.router ?? new UpstreamRouter(options.entryId, options.dataCentre);
    const createQueue = options.createQueue ?? (() => new FairDeadlineQueue({ maxQueued: options.maxQueued }));
    const budget = new RetryBudget(nowMs());
    const serviceStates = new Map<string, ServiceState>();
    let lastView: ReturnType<EntryAdmissionOptions["view"]> | undefined;

    function readView() {
        const view = options.view();
        if (lastView?.upstreams === view.upstreams && lastView.configuration === view.configuration) {
            return;
        }
        lastView = { upstreams: view.upstreams, configuration: view.configuration };
        const drained = view.configuration.dataCentres.filter(item => item.drained).map(item => item.name);
        const startCaps = new Map(view.configuration.services.map(service => [service.name, service.coldCapacity]));
        router.observe({ kind: "directory", nowMs: nowMs(), upstreams: [...view.upstreams.values()], drained, startCaps });
    }

    function stateOf(service: string): ServiceState {
        const state = serviceStates.get(service) ?? { queue: createQueue(), waiting: new Map<string, WaitingRequest>() };
        serviceStates.set(service, state);
        return state;
    }

    function resolveWaiting(state: ServiceState, id: string, admission: Admission) {
        const waiting = state.waiting.get(id);
        const { resolve } = waiting ?? {};
        if (waiting !== undefined) {
            waiting.resolve = undefined;
        }
        resolve?.(admission);
    }

    function refuseNoUpstream(service: string, state: ServiceState, id: string, waitMs: number) {
        countRefusal("no-upstream", service);
        resolveWaiting(state, id, { kind: "refused", code: "no-upstream", retryAfterMs: jitteredRetryAfterMs(waitMs, random()) });
    }

    /** Routes a request that the queue has dispatched, or returns it to the queue if every upstream is busy. */
    function assignUpstream(state: ServiceState, id: string) {
        const waiting = state.waiting.get(id)!;
        const { service, model, prefixKey } = waiting.request;
        const choice = router.choose({ service, model, prefixKey, exclude: waiting.exclude, nowMs: nowMs(), random: random() });
        if (choice.kind === "upstream") {
            router.observe({ kind: "dispatched", nowMs: nowMs(), upstreamId: choice.upstreamId });
            resolveWaiting(state, id, choice);
            return;
        }
        if (choice.reason === "busy") {
            state.queue.apply({ kind: "returned", nowMs: nowMs(), random: random(), id });
            return;
        }
        refuseNoUpstream(service, state, id, choice.retryAfterMs);
    }

    function performEffects(service: string, state: ServiceState, effects: readonly QueueEffect[]) {
        for (const effect of effects) {
            if (effect.kind === "dispatch") {
                assignUpstream(state, effect.id);
                continue;
            }
            countRefusal(effect.code, service);
            resolveWaiting(state, effect.id, { kind: "refused", code: effect.code, retryAfterMs: effect.retryAfterMs });
        }
    }

    function apply(service: string, body: QueueEventBody) {
        const state = stateOf(service);
        performEffects(service, state, state.queue.apply({ ...body, nowMs: nowMs(), random: random() } as QueueEvent));
    }

    /** Sets the queue's slots to the running requests plus the free slots of the known upstreams. */
    function updateSlots(service: string) {
        readView();
        const { queue } = stateOf(service);
        apply(service, { kind: "slots", slots: queue.running + router.freeSlots({ service, nowMs: nowMs() }) });
    }

    /**
     * Refuses requests whose service has no upstream once their first token is due. Until then they stay queued, so that no answer is
     * lost if the replica is repaired in time. After that they are refused at once with a retry delay.
     */
    function refuseUnserved(service: string, state: ServiceState) {
        for (const [id, { request, dueMs, resolve }] of state.waiting) {
            if (resolve === undefined || dueMs > nowMs() || router.hasUpstreamFor({ service, model: request.model })) {
                continue;
            }
            state.queue.apply({ kind: "cancelled", nowMs: nowMs(), random: random(), id, organisation: request.organisation });
            refuseNoUpstream(service, state, id, noUpstreamRetryMs);
        }
    }

    function tick() {
        for (const [service, state] of serviceStates) {
            if (state.queue.queued > 0) {
                readView();
                refuseUnserved(service, state);
                updateSlots(service);
                apply(service, { kind: "tick" });
            }
        }
    }

    const timer = setInterval(tick, tickMs);
    timer.unref();

    function enter(request: IncomingRequest): AdmissionTicket {
        const { id, service, organisation, serviceClass, work } = request;
        const state = stateOf(service);
        const enteredMs = nowMs();
        let upstreamId: string | undefined;
        let attemptStartedMs = 0;
        let isAwaitingFirstToken = false;
        let firstTokenAtMs = 0;
        let tokenCount = 0;
        let firstTokenMs: number | undefined;
        let answered = false;
        let closed = false;
        let isQueued = false;
        let lastOutcome: AttemptOutcome | undefined;
        // An upstream that refused may be chosen again after its backoff. Otherwise a service with a single, briefly busy upstream
        // would have no upstream left after one refusal.
        const refusedBy = new Set<string>();

        /** Records the upstream in the same step that assigns it, so that a caller that disconnects at that moment releases it. */
        function trackUpstream(resolve: (admission: Admission) => void) {
            return (admission: Admission) => {
                upstreamId = admission.kind === "upstream" ? admission.upstreamId : undefined;
                attemptStartedMs = nowMs();
                isAwaitingFirstToken = upstreamId !== undefined;
                tokenCount = 0;
                resolve(admission);
            };
        }

        function requestUpstream(exclude: ReadonlySet<string>): Promise<Admission> {
            return new Promise(resolve => {
                const excluded = new Set([...exclude].filter(tried => !refusedBy.has(tried)));
                state.waiting.set(id, {
                    request, dueMs: enteredMs + request.latenessMs, exclude: excluded, resolve: trackUpstream(resolve),
                });
                updateSlots(service);
                if (isQueued) {
                    assignUpstream(state, id);
                    return;
                }
                isQueued = true;
                const deadlines = { dueMs: enteredMs + request.latenessMs, deadlineMs: enteredMs + request.deadlineMs };
                apply(service, { kind: "arrive", request: { id, organisation, serviceClass, work, ...deadlines } });
            });
        }

        function markStarted() {
            if (isAwaitingFirstToken && upstreamId !== undefined) {
                isAwaitingFirstToken = false;
                router.observe({ kind: "first-token", nowMs: nowMs(), upstreamId });
            }
        }

        function attemptEnded(outcome: AttemptOutcome, retryAfterMs = 0) {
            if (upstreamId === undefined) {
                return;
            }
            markStarted();
            if (outcome === "answered" && tokenCount >= minMeasuredTokens) {
                router.observe({ kind: "token-latency", nowMs: nowMs(), upstreamId, latencyMs: (nowMs() - firstTokenAtMs) / (tokenCount - 1) });
            }
            router.observe({ kind: outcome, nowMs: nowMs(), upstreamId, retryAfterMs });
            if (outcome === "refused") {
                refusedBy.add(upstreamId);
            }
            lastOutcome = outcome;
            upstreamId = undefined;
            if (outcome === "answered") {
                answered = true;
                budget.recordSuccess(nowMs());
            }
        }

        async function choose(exclude: ReadonlySet<string>, isRetry: boolean): Promise<Admission> {
            const waitMs = isRetry && lastOutcome !== "refused" ? budget.tryRetry(nowMs()) : undefined;
            if (waitMs !== undefined) {
                countRefusal("retry-budget-spent", service);
                return { kind: "refused", code: "retry-budget-spent", retryAfterMs: jitteredRetryAfterMs(waitMs, random()) };
            }
            return requestUpstream(exclude);
        }

        function close() {
            if (closed) {
                return;
            }
            closed = true;
            attemptEnded("released");
            state.waiting.delete(id);
            // Only complete answers count towards the estimated duration of work: early disconnects would bias it downwards.
            const firstToken = firstTokenMs === undefined ? {} : { firstTokenMs };
            apply(service, answered ? { kind: "finished", id, ...firstToken } : { kind: "cancelled", id, organisation });
            updateSlots(service);
        }

        return {
            choose,
            attemptEnded,
            close,
            tokenReceived() {
                tokenCount++;
                if (isAwaitingFirstToken) {
                    firstTokenMs ??= nowMs() - attemptStartedMs;
                    firstTokenAtMs = nowMs();
                    markStarted();
                    updateSlots(service);
                }
            },
            loadReported(running, capacity) {
                if (upstreamId !== undefined && capacity > 0) {
                    router.observe({ kind: "load", nowMs: nowMs(), upstreamId, running, capacity });
                }
            },
        };
    }

    return {
        enter,
        tick,
        get queued() {
            return [...serviceStates.values()].reduce((sum, state) => sum + state.queue.queued, 0);
        },
        stop: () => clearInterval(timer),
    };
}

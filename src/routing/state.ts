/**
 * The routing state of an entry, as a reducer.
 *
 * For each service, the entry uses a bounded subset of the upstreams: those that rank highest for it by rendezvous hashing, up to
 * `subsetSize` in its own data centre and as many outside. Load reports come with answers, so they cover only this subset; they decay
 * within seconds because they soon become outdated. In-flight attempts of this entry are counted exactly. A new or returned upstream is
 * ramped up.
 *
 * @module
 */

import { applyCacheEvent, type CacheEvent, type CacheHints, emptyCacheHints, removeUpstreamHints } from "./cacheHints.js";
import { hashText, rank } from "./rendezvous.js";
import type { RoutedUpstream } from "./types.js";

export interface RoutingPolicy {
    /** The maximum number of upstreams per service in the local data centre, and again outside it. */
    readonly subsetSize: number;
    /** The half-life of a reported load. */
    readonly loadHalfLifeMs: number;
    /** The half-life of a measured token latency. */
    readonly latencyHalfLifeMs: number;
    /** The time over which a new or returned upstream is ramped up to its full capacity. */
    readonly rampMs: number;
    /** An upstream this many times slower than the median of its service is a straggler. */
    readonly stragglerFactor: number;
}

export const defaultRoutingPolicy: RoutingPolicy = {
    subsetSize: 24,
    loadHalfLifeMs: 2_000,
    latencyHalfLifeMs: 10_000,
    rampMs: 4_000,
    stragglerFactor: 2,
};

/** The state of one upstream in the subset. */
export interface KnownUpstream {
    readonly upstream: RoutedUpstream;
    readonly hash: number;
    /** When it was added to the directory, or when its data centre was restored after a drain. */
    readonly rampStartMs: number;
    /** In-flight attempts of this entry. */
    readonly inFlight: number;
    /** In-flight attempts of this entry without a first token. */
    readonly starting: number;
    /** Attempts of other entries at `loadReportedAtMs`, by the last load report. */
    readonly otherEntriesRunning: number;
    readonly loadReportedAtMs: number;
    /** The concurrent attempts it accepts, by the last load report; below its capacity while it is cold. */
    readonly reportedCapacity: number | undefined;
    /**
     * The attempts of this entry that it was running when it last refused one. Each answer raises it by one; the next load report
     * replaces it.
     */
    readonly learnedCapacity: number | undefined;
    readonly tokenLatencyMs: number | undefined;
    readonly latencyMeasuredAtMs: number;
    readonly backoffUntilMs: number;
    /** Consecutive refusals and failures since the last answer. */
    readonly failures: number;
}

export interface RoutingState {
    readonly policy: RoutingPolicy;
    readonly entryHash: number;
    readonly dataCentre: string;
    readonly drained: ReadonlySet<string>;
    readonly known: ReadonlyMap<string, KnownUpstream>;
    /** The maximum number of attempts without a first token per upstream, by service. Other services are not limited. */
    readonly startCaps: ReadonlyMap<string, number>;
    readonly hints: CacheHints;
}

export type RoutingEvent =
    /** The complete directory and the data centres drained by operators. */
    | {
        readonly kind: "directory";
        readonly nowMs: number;
        readonly upstreams: readonly RoutedUpstream[];
        readonly drained: readonly string[];
        readonly startCaps?: ReadonlyMap<string, number>;
    }
    | { readonly kind: "dispatched"; readonly nowMs: number; readonly upstreamId: string }
    /** An attempt has produced its first token or ended without one, so it is no longer starting. */
    | { readonly kind: "first-token"; readonly nowMs: number; readonly upstreamId: string }
    /** A load report received with an answer. */
    | { readonly kind: "load"; readonly nowMs: number; readonly upstreamId: string; readonly running: number; readonly capacity: number }
    | { readonly kind: "token-latency"; readonly nowMs: number; readonly upstreamId: string; readonly latencyMs: number }
    /** An attempt has ended: it was answered, refused without being run, or broken off. */
    | { readonly kind: "answered"; readonly nowMs: number; readonly upstreamId: string }
    | { readonly kind: "refused"; readonly nowMs: number; readonly upstreamId: string; readonly retryAfterMs: number }
    | { readonly kind: "failed"; readonly nowMs: number; readonly upstreamId: string }
    /** An attempt has ended for a reason unrelated to the upstream. */
    | { readonly kind: "released"; readonly nowMs: number; readonly upstreamId: string }
    | { readonly kind: "cache"; readonly nowMs: number; readonly event: CacheEvent };

const initialFailureBackoffMs = 500;
const minRefusalBackoffMs = 50;
const maxFailureBackoffMs = 5_000;
const maxBackoffDoublings = 6;
/** An upstream that refuses is still working, so it is retried sooner than one that failed. */
const maxRefusalBackoffMs = 500;
const latencySmoothing = 0.2;

/** Returns the state of an entry that knows no upstreams. */
export function initialRouting(entryId: string, dataCentre: string, policy: RoutingPolicy = defaultRoutingPolicy): RoutingState {
    const empty = { drained: new Set<string>(), known: new Map(), startCaps: new Map(), hints: emptyCacheHints };
    return { policy, entryHash: hashText(entryId), dataCentre, ...empty };
}

function newKnownUpstream(upstream: RoutedUpstream, nowMs: number): KnownUpstream {
    return {
        upstream,
        hash: hashText(upstream.upstreamId),
        rampStartMs: nowMs,
        inFlight: 0,
        starting: 0,
        otherEntriesRunning: 0,
        loadReportedAtMs: nowMs,
        reportedCapacity: undefined,
        learnedCapacity: undefined,
        tokenLatencyMs: undefined,
        latencyMeasuredAtMs: nowMs,
        backoffUntilMs: 0,
        failures: 0,
    };
}

function chooseSubset(state: RoutingState, upstreams: readonly RoutedUpstream[]): RoutedUpstream[] {
    const serving = upstreams.filter(upstream => upstream.ready && !upstream.leaving);
    return [...new Set(serving.map(upstream => upstream.service))].flatMap(service => {
        const local = serving.filter(upstream => upstream.service === service && upstream.dataCentre === state.dataCentre);
        const remote = serving.filter(upstream => upstream.service === service && upstream.dataCentre !== state.dataCentre);
        const top = (items: RoutedUpstream[]) => rank(state.entryHash, items, item => hashText(item.upstreamId), state.policy.subsetSize);
        return [...top(local), ...top(remote)];
    });
}

function sameIdentity(a: RoutedUpstream, b: RoutedUpstream): boolean {
    return a.epoch === b.epoch && a.sidecarBootId === b.sidecarBootId;
}

type DirectoryEvent = Extract<RoutingEvent, { kind: "directory" }>;

function applyDirectory(state: RoutingState, { upstreams, nowMs, ...event }: DirectoryEvent): RoutingState {
    const drained = new Set(event.drained);
    // For an entry that has just started, all upstreams are new but have been serving for a while: they need no ramp.
    const rampStartMs = state.known.size === 0 ? nowMs - state.policy.rampMs : nowMs;
    const known = new Map<string, KnownUpstream>();
    for (const upstream of chooseSubset(state, upstreams)) {
        const previous = state.known.get(upstream.upstreamId);
        const kept = previous !== undefined && sameIdentity(previous.upstream, upstream)
            ? { ...previous, upstream }
            : newKnownUpstream(upstream, rampStartMs);
        // A restored data centre is ramped up like a new one: its caches are cold, and all entries return to it at once.
        const hasReturned = state.drained.has(upstream.dataCentre) && !drained.has(upstream.dataCentre);
        known.set(upstream.upstreamId, hasReturned ? { ...kept, rampStartMs: nowMs } : kept);
    }
    const removedIds = [...state.known.keys()].filter(id => !known.has(id));
    return {
        ...state, drained, known, startCaps: event.startCaps ?? state.startCaps, hints: removedIds.reduce(removeUpstreamHints, state.hints),
    };
}

function update(state: RoutingState, upstreamId: string, change: (known: KnownUpstream) => Partial<KnownUpstream>): RoutingState {
    const previous = state.known.get(upstreamId);
    if (previous === undefined) {
        return state;
    }
    return { ...state, known: new Map(state.known).set(upstreamId, { ...previous, ...change(previous) }) };
}

/** Backs off exponentially with the number of consecutive failures. The first answer resets the backoff. */
function backOff(known: KnownUpstream, nowMs: number, initialMs: number, maxMs: number): Partial<KnownUpstream> {
    const waitMs = Math.min(Math.max(maxMs, initialMs), initialMs * 2 ** Math.min(known.failures, maxBackoffDoublings));
    return { inFlight: Math.max(0, known.inFlight - 1), failures: known.failures + 1, backoffUntilMs: nowMs + waitMs };
}

function smoothLatency(known: KnownUpstream, latencyMs: number, nowMs: number): Partial<KnownUpstream> {
    const previousMs = known.tokenLatencyMs ?? latencyMs;
    return { tokenLatencyMs: previousMs + (latencyMs - previousMs) * latencySmoothing, latencyMeasuredAtMs: nowMs };
}

/** Applies one event to the routing state. */
export function observe(state: RoutingState, event: RoutingEvent): RoutingState {
    const { nowMs } = event;
    switch (event.kind) {
        case "directory":
            return applyDirectory(state, event);
        case "cache":
            return state.known.has(event.event.upstreamId) ? { ...state, hints: applyCacheEvent(state.hints, event.event, nowMs) } : state;
        case "dispatched":
            return update(state, event.upstreamId, known => ({ inFlight: known.inFlight + 1, starting: known.starting + 1 }));
        case "first-token":
            return update(state, event.upstreamId, known => ({ starting: Math.max(0, known.starting - 1) }));
        case "load":
            return update(state, event.upstreamId, known => ({
                otherEntriesRunning: Math.max(0, event.running - known.inFlight),
                reportedCapacity: event.capacity > 0 ? event.capacity : undefined,
                learnedCapacity: undefined,
                loadReportedAtMs: nowMs,
            }));
        case "token-latency":
            return update(state, event.upstreamId, known => smoothLatency(known, event.latencyMs, nowMs));
        case "answered":
            return update(state, event.upstreamId, known => ({
                inFlight: Math.max(0, known.inFlight - 1),
                learnedCapacity: known.learnedCapacity === undefined ? undefined : known.learnedCapacity + 1,
                failures: 0,
                backoffUntilMs: 0,
            }));
        case "refused":
            return update(state, event.upstreamId, known => ({
                ...backOff(known, nowMs, Math.max(minRefusalBackoffMs, event.retryAfterMs), maxRefusalBackoffMs),
                learnedCapacity: Math.max(1, known.inFlight - 1),
            }));
        case "failed":
            return update(state, event.upstreamId, known => backOff(known, nowMs, initialFailureBackoffMs, maxFailureBackoffMs));
        case "released":
            return update(state, event.upstreamId, known => ({ inFlight: Math.max(0, known.inFlight - 1) }));
    }
}

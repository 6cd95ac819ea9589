/**
 * Load and latency estimates for the upstreams that an entry knows.
 *
 * @module
 */

import type { KnownUpstream, RoutingPolicy, RoutingState } from "./state.js";

function decay(value: number, ageMs: number, halfLifeMs: number): number {
    return value * 2 ** (-Math.max(0, ageMs) / halfLifeMs);
}

/** Estimates the attempts that an upstream is running: an exact count for this entry, a decaying last report for the others. */
export function estimatedRunning(known: KnownUpstream, policy: RoutingPolicy, nowMs: number): number {
    return known.inFlight + decay(known.otherEntriesRunning, nowMs - known.loadReportedAtMs, policy.loadHalfLifeMs);
}

/**
 * Returns how many attempts an upstream may run at once: its capacity, reduced while it reports to be cold and while it is ramped up.
 * Without the ramp, all entries would prefer an upstream that has just returned, since it has the lowest load, and overload it at once.
 */
export function effectiveCapacity(known: KnownUpstream, policy: RoutingPolicy, nowMs: number): number {
    const fullCapacity = Math.min(known.upstream.capacity, known.reportedCapacity ?? Infinity, known.learnedCapacity ?? Infinity);
    const rampRatio = Math.min(1, (nowMs - known.rampStartMs) / policy.rampMs);
    return Math.max(1, Math.floor(fullCapacity * rampRatio));
}

/**
 * Returns the number of attempts that an upstream could take now. Its sidecar admits a limited number of attempts without a first token:
 * one more would be refused, and the backoff that follows would leave the upstream partly idle.
 */
export function freeSlots(known: KnownUpstream, { policy, startCaps }: Pick<RoutingState, "policy" | "startCaps">, nowMs: number): number {
    const freeCapacity = effectiveCapacity(known, policy, nowMs) - Math.ceil(estimatedRunning(known, policy, nowMs) - 0.5);
    const freeStarts = (startCaps.get(known.upstream.service) ?? Infinity) - known.starting;
    return Math.max(0, Math.min(freeCapacity, freeStarts));
}

/** Returns the token latency relative to the median, or 1 if it is below the straggler factor. An old measurement decays towards 1. */
export function slowdownFactor(known: KnownUpstream, medianMs: number | undefined, policy: RoutingPolicy, nowMs: number): number {
    if (medianMs === undefined || known.tokenLatencyMs === undefined || medianMs <= 0) {
        return 1;
    }
    const ratio = known.tokenLatencyMs / medianMs;
    if (ratio < policy.stragglerFactor) {
        return 1;
    }
    return 1 + decay(ratio - 1, nowMs - known.latencyMeasuredAtMs, policy.latencyHalfLifeMs);
}

const minLatencySamples = 3;

/** Returns the median token latency; undefined while too few upstreams have a measurement to tell that one of them is slow. */
export function medianLatencyMs(upstreams: readonly KnownUpstream[]): number | undefined {
    const measured = upstreams.flatMap(known => known.tokenLatencyMs ?? []).sort((a, b) => a - b);
    return measured.length < minLatencySamples ? undefined : measured[Math.floor((measured.length - 1) / 2)];
}

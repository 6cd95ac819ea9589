/**
 * Slow start of one upstream. The state belongs to its sidecar, the only process that starts work on that upstream.
 *
 * Invariants, for any order of events:
 * - The number of attempts without a first token never exceeds the configured cold capacity, even if the upstream seems warm.
 * - A start is admitted only below `limit`, and `limit` stays between the cold capacity and the capacity.
 *
 * The first invariant protects an upstream that turns cold without any sign: until one of the attempts started since then produces its
 * first token, there are no more of them than the cold capacity, and the latency of that token resets the limit. The caller reports
 * when attempts start, produce their first token and end. The entry decides where a refused start goes instead.
 *
 * @module
 */

import { type Step, step, unchanged } from "../runtime/index.js";

/** The configured capacities of an upstream and the parameters of its slow start. */
export interface ColdStartPolicy {
    readonly coldCapacity: number;
    readonly capacity: number;
    /** The minimum time between two increases of the limit. */
    readonly raiseIntervalMs: number;
    /** The upstream counts as cold after this long without attempts, since its caches and its batch have emptied. */
    readonly idleResetMs: number;
    /** A latency above the baseline times this factor is a jump, which indicates a cold upstream. */
    readonly latencyJumpFactor: number;
    /** Lower latencies are never a jump, so that noise on a fast upstream does not reset its limit. */
    readonly minLatencyJumpMs: number;
    /**
     * The largest lateness target of the service. A first token with a higher latency doesn't count towards raising the limit. If unset,
     * every first token counts, and an upstream that is slow from its first boot may be taken for warm, since it has no baseline yet.
     */
    readonly provenFirstTokenMs?: number | undefined;
}

export const coldStartDefaults = {
    raiseIntervalMs: 500,
    idleResetMs: 30_000,
    latencyJumpFactor: 3,
    minLatencyJumpMs: 250,
} as const;

export interface ColdStartState {
    readonly policy: ColdStartPolicy;
    /** Starts are admitted while fewer attempts than this are running. */
    readonly limit: number;
    readonly attempts: ReadonlyMap<string, "starting" | "producing">;
    /** First tokens with a normal latency since the limit last changed. */
    readonly normalFirstTokens: number;
    readonly lastRaiseMs: number;
    readonly lastActivityMs: number;
    readonly engineBootId: string | undefined;
    readonly baselineFirstTokenMs: number | undefined;
    readonly baselineStepMs: number | undefined;
}

export type ColdStartEvent =
    | { readonly kind: "start-asked"; readonly nowMs: number; readonly attemptId: string }
    | { readonly kind: "first-token"; readonly nowMs: number; readonly attemptId: string; readonly latencyMs: number }
    /** The upstream has closed the attempt. A caller's disconnect does not end it, since the work may still run. */
    | { readonly kind: "ended"; readonly nowMs: number; readonly attemptId: string }
    | { readonly kind: "engine-boot"; readonly nowMs: number; readonly bootId: string }
    | { readonly kind: "step-latency"; readonly nowMs: number; readonly latencyMs: number };

export type ColdStartEffect =
    | { readonly kind: "admit"; readonly attemptId: string }
    | { readonly kind: "refuse"; readonly attemptId: string; readonly retryAfterMs: number };

/** The weight of a latency sample below the baseline in its moving average. */
const baselineFallRate = 0.5;
/** The weight of a sample above the baseline; lower, so that the baseline rises slowly. */
const baselineRiseRate = 0.05;
/**
 * The factor by which each jump raises the baseline. A lasting change, such as longer prompts, is accepted after some tens of jumps; a
 * cold start ends before that.
 */
const baselineJumpFactor = 1.02;
const limitGrowthRatio = 0.5;
const defaultFirstTokenMs = 100;
const minRetryAfterMs = 20;

/** Returns the state of a cold upstream without any measurements. */
export function initialColdStart(policy: ColdStartPolicy): ColdStartState {
    return {
        policy,
        limit: Math.min(policy.coldCapacity, policy.capacity),
        attempts: new Map(),
        normalFirstTokens: 0,
        lastRaiseMs: 0,
        lastActivityMs: 0,
        engineBootId: undefined,
        baselineFirstTokenMs: undefined,
        baselineStepMs: undefined,
    };
}

/** Counts the attempts that have not produced their first token. */
export function startingCount(state: ColdStartState): number {
    let count = 0;
    for (const phase of state.attempts.values()) {
        if (phase === "starting") {
            count++;
        }
    }
    return count;
}

function resetLimit(state: ColdStartState, nowMs: number): ColdStartState {
    const limit = Math.min(state.policy.coldCapacity, state.policy.capacity);
    return { ...state, limit, normalFirstTokens: 0, lastRaiseMs: nowMs };
}

function isJump(policy: ColdStartPolicy, baselineMs: number | undefined, latencyMs: number): boolean {
    return baselineMs !== undefined && latencyMs >= policy.minLatencyJumpMs && latencyMs > baselineMs * policy.latencyJumpFactor;
}

function updateBaseline(baselineMs: number | undefined, latencyMs: number, isJumpSample: boolean): number {
    if (baselineMs === undefined) {
        return latencyMs;
    }
    if (isJumpSample) {
        return baselineMs * baselineJumpFactor;
    }
    return baselineMs + (latencyMs - baselineMs) * (latencyMs < baselineMs ? baselineFallRate : baselineRiseRate);
}

/**
 * Raises the limit by half once as many normal first tokens as the limit have arrived since it last changed, so that an increase never
 * exceeds what this round has shown.
 */
function raiseLimit(state: ColdStartState, nowMs: number): ColdStartState {
    const { policy, limit } = state;
    if (limit >= policy.capacity || state.normalFirstTokens < limit || nowMs - state.lastRaiseMs < policy.raiseIntervalMs) {
        return state;
    }
    const raised = Math.min(policy.capacity, limit + Math.max(1, Math.floor(limit * limitGrowthRatio)));
    return { ...state, limit: raised, normalFirstTokens: 0, lastRaiseMs: nowMs };
}

function decideStart(state: ColdStartState, nowMs: number, attemptId: string): Step<ColdStartState, ColdStartEffect> {
    const isIdle = state.attempts.size === 0 && nowMs - state.lastActivityMs >= state.policy.idleResetMs;
    const current = isIdle ? resetLimit(state, nowMs) : state;
    // The limit alone would let an upstream that turned cold without a sign receive starts up to its warm limit before the first late
    // token arrives, and it would crash with all its attempts. The first condition admits at most its cold capacity of new starts.
    const isFull = startingCount(current) >= current.policy.coldCapacity || current.attempts.size >= current.limit;
    if (isFull || current.attempts.has(attemptId)) {
        const retryAfterMs = Math.max(minRetryAfterMs, Math.round(current.baselineFirstTokenMs ?? defaultFirstTokenMs));
        return step(current, { kind: "refuse", attemptId, retryAfterMs });
    }
    const attempts = new Map(current.attempts).set(attemptId, "starting");
    return step({ ...current, attempts, lastActivityMs: nowMs }, { kind: "admit", attemptId });
}

function recordFirstToken(state: ColdStartState, nowMs: number, attemptId: string, latencyMs: number): ColdStartState {
    if (state.attempts.get(attemptId) !== "starting") {
        return state;
    }
    const jump = isJump(state.policy, state.baselineFirstTokenMs, latencyMs);
    const next: ColdStartState = {
        ...state,
        attempts: new Map(state.attempts).set(attemptId, "producing"),
        baselineFirstTokenMs: updateBaseline(state.baselineFirstTokenMs, latencyMs, jump),
        lastActivityMs: nowMs,
    };
    if (jump) {
        return resetLimit(next, nowMs);
    }
    const isLate = latencyMs > (state.policy.provenFirstTokenMs ?? Infinity);
    return isLate ? next : raiseLimit({ ...next, normalFirstTokens: state.normalFirstTokens + 1 }, nowMs);
}

/** Applies one event to the slow start of one upstream. */
export function coldStartReducer(state: ColdStartState, event: ColdStartEvent): Step<ColdStartState, ColdStartEffect> {
    switch (event.kind) {
        case "start-asked":
            return decideStart(state, event.nowMs, event.attemptId);
        case "first-token":
            return step(recordFirstToken(state, event.nowMs, event.attemptId, event.latencyMs));
        case "ended": {
            if (!state.attempts.has(event.attemptId)) {
                return unchanged(state);
            }
            const attempts = new Map(state.attempts);
            attempts.delete(event.attemptId);
            return step({ ...state, attempts, lastActivityMs: event.nowMs });
        }
        case "engine-boot":
            if (event.bootId === state.engineBootId) {
                return unchanged(state);
            }
            return step({ ...resetLimit(state, event.nowMs), attempts: new Map(), engineBootId: event.bootId });
        case "step-latency": {
            const jump = isJump(state.policy, state.baselineStepMs, event.latencyMs);
            const measured = { ...state, baselineStepMs: updateBaseline(state.baselineStepMs, event.latencyMs, jump) };
            return step(jump ? resetLimit(measured, event.nowMs) : measured);
        }
    }
}

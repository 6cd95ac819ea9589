/**
 * The concurrency limiter that a sidecar consults before it starts an attempt: an interface with one class per policy.
 *
 * @module
 */

import {
    type ColdStartEvent, type ColdStartPolicy, type ColdStartState, coldStartReducer, coldStartDefaults, initialColdStart,
} from "./coldStart.js";

export type StartDecision =
    | { readonly admitted: true }
    | { readonly admitted: false; readonly retryAfterMs: number };

/** Decides which attempts an upstream may start now. All times are milliseconds of the same monotonic clock. */
export interface StartLimiter {
    tryStart(nowMs: number, attemptId: string): StartDecision;
    /** Records the first token of a model, or the first chunk of a plain service's answer, `latencyMs` after the attempt started. */
    firstToken(nowMs: number, attemptId: string, latencyMs: number): void;
    /** Records that the upstream has closed the attempt. Idempotent. */
    ended(nowMs: number, attemptId: string): void;
    /** Records the boot id of the engine. A new boot id ends all attempts of the previous boot. */
    engineBoot(bootId: string, nowMs: number): void;
    /** Records the time between two tokens. */
    stepLatency(nowMs: number, latencyMs: number): void;
    readonly running: number;
    readonly limit: number;
}

/** Slow start; see `coldStartReducer`. */
export class SlowStartLimiter implements StartLimiter {
    private state: ColdStartState;

    constructor(policy: Pick<ColdStartPolicy, "coldCapacity" | "capacity"> & Partial<ColdStartPolicy>) {
        this.state = initialColdStart({ ...coldStartDefaults, ...policy });
    }

    /** Replaces the capacities. Resets the limit but keeps the running attempts, so that a change never admits too many. */
    updatePolicy(policy: Pick<ColdStartPolicy, "coldCapacity" | "capacity"> & Partial<ColdStartPolicy>) {
        const { attempts } = this.state;
        this.state = { ...initialColdStart({ ...coldStartDefaults, ...policy }), attempts };
    }

    get running() {
        return this.state.attempts.size;
    }

    get limit() {
        return this.state.limit;
    }

    tryStart(nowMs: number, attemptId: string): StartDecision {
        const effect = this.apply({ kind: "start-asked", nowMs, attemptId })[0];
        return effect?.kind === "refuse" ? { admitted: false, retryAfterMs: effect.retryAfterMs } : { admitted: true };
    }

    firstToken(nowMs: number, attemptId: string, latencyMs: number) {
        this.apply({ kind: "first-token", nowMs, attemptId, latencyMs });
    }

    ended(nowMs: number, attemptId: string) {
        this.apply({ kind: "ended", nowMs, attemptId });
    }

    engineBoot(bootId: string, nowMs: number) {
        this.apply({ kind: "engine-boot", nowMs, bootId });
    }

    stepLatency(nowMs: number, latencyMs: number) {
        this.apply({ kind: "step-latency", nowMs, latencyMs });
    }

    private apply(event: ColdStartEvent) {
        const { state, effects } = coldStartReducer(this.state, event);
        this.state = state;
        return effects;
    }
}

const fixedRetryAfterMs = 100;

/** The baseline: full capacity at all times, cold or warm. */
export class FixedLimiter implements StartLimiter {
    private readonly attempts = new Set<string>();
    private bootId: string | undefined;

    constructor(readonly limit: number) {}

    get running() {
        return this.attempts.size;
    }

    tryStart(_nowMs: number, attemptId: string): StartDecision {
        if (this.attempts.size >= this.limit || this.attempts.has(attemptId)) {
            return { admitted: false, retryAfterMs: fixedRetryAfterMs };
        }
        this.attempts.add(attemptId);
        return { admitted: true };
    }

    firstToken() {}

    ended(_nowMs: number, attemptId: string) {
        this.attempts.delete(attemptId);
    }

    engineBoot(bootId: string) {
        if (bootId !== this.bootId) {
            this.attempts.clear();
            this.bootId = bootId;
        }
    }

    stepLatency() {}
}

/**
 * The share of an entry's attempts that may be repeats. While most attempts succeed, a failed one is tried again at once; when all
 * fail, repeats stop, so that an outage is not answered with a multiple of the usual load (a retry storm keeps the outage alive).
 *
 * Invariant: repeats granted <= `most` + `perSuccess` x successes + `perSecond` x seconds.
 *
 * @module
 */

import { type Step, step } from "../runtime/index.js";

export interface RetryBudgetPolicy {
    /** What one success adds. */
    readonly perSuccess: number;
    /** What a second adds, so that an entry with little traffic recovers. */
    readonly perSecond: number;
    /** The most that can be saved up. */
    readonly most: number;
}

export const defaultRetryBudget: RetryBudgetPolicy = { perSuccess: 0.1, perSecond: 0.5, most: 20 };

export interface RetryBudgetState {
    readonly policy: RetryBudgetPolicy;
    readonly tokens: number;
    readonly atMs: number;
}

export type RetryBudgetEvent =
    | { readonly kind: "succeeded"; readonly nowMs: number }
    | { readonly kind: "retry-asked"; readonly nowMs: number };

export type RetryBudgetEffect =
    | { readonly kind: "grant" }
    | { readonly kind: "deny"; readonly retryAfterMs: number };

/** A budget that starts with `tokens`. */
export function initialRetryBudget(policy: RetryBudgetPolicy, nowMs: number, tokens: number): RetryBudgetState {
    return { policy, tokens, atMs: nowMs };
}

function add(state: RetryBudgetState, nowMs: number, tokens: number): RetryBudgetState {
    const passedMs = Math.max(0, nowMs - state.atMs);
    const filled = state.tokens + tokens + passedMs / 1_000 * state.policy.perSecond;
    return { ...state, tokens: Math.min(state.policy.most, filled), atMs: Math.max(state.atMs, nowMs) };
}

/** Counts one success or decides about one repeat. */
export function retryBudgetReducer(state: RetryBudgetState, event: RetryBudgetEvent): Step<RetryBudgetState, RetryBudgetEffect> {
    if (event.kind === "succeeded") {
        return step(add(state, event.nowMs, state.policy.perSuccess));
    }
    const filled = add(state, event.nowMs, 0);
    if (filled.tokens < 1) {
        const retryAfterMs = Math.ceil((1 - filled.tokens) / filled.policy.perSecond * 1_000);
        return step(filled, { kind: "deny", retryAfterMs });
    }
    return step({ ...filled, tokens: filled.tokens - 1 }, { kind: "grant" });
}

/** The budget as a shell holds it. */
export class RetryBudget {
    private state: RetryBudgetState;

    /** Full at the start unless `tokens` says otherwise. */
    constructor(nowMs: number, policy: RetryBudgetPolicy = defaultRetryBudget, tokens = policy.most) {
        this.state = initialRetryBudget(policy, nowMs, tokens);
    }

    get most(): number {
        return this.state.policy.most;
    }

    succeeded(nowMs: number) {
        this.state = retryBudgetReducer(this.state, { kind: "succeeded", nowMs }).state;
    }

    /** Undefined grants one repeat; a number refuses it and is the time until the next one, in milliseconds. */
    tryRetry(nowMs: number): number | undefined {
        const { state, effects } = retryBudgetReducer(this.state, { kind: "retry-asked", nowMs });
        this.state = state;
        return effects[0]?.kind === "deny" ? effects[0].retryAfterMs : undefined;
    }
}

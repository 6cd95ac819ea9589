/**
 * A token bucket that bounds the retries of an entry. While most attempts succeed, a failed one is retried at once. When all of them
 * fail, retries stop, since a retry storm multiplies the load and prolongs the outage.
 *
 * Invariant: retries granted <= capacity of the bucket + `perSuccess` x successes + `perSecond` x seconds.
 *
 * @module
 */

import { type Step, step } from "../runtime/index.js";

export interface RetryBudgetPolicy {
    /** Tokens added by each success. */
    readonly perSuccess: number;
    /** Tokens added each second, so that the budget of an entry with little traffic recovers. */
    readonly perSecond: number;
    /** The capacity of the bucket. */
    readonly maxTokens: number;
}

export const defaultRetryBudget: RetryBudgetPolicy = { perSuccess: 0.1, perSecond: 0.5, maxTokens: 20 };

export interface RetryBudgetState {
    readonly policy: RetryBudgetPolicy;
    readonly tokens: number;
    readonly updatedAtMs: number;
}

export type RetryBudgetEvent =
    | { readonly kind: "succeeded"; readonly nowMs: number }
    | { readonly kind: "retry-asked"; readonly nowMs: number };

export type RetryBudgetEffect =
    | { readonly kind: "grant" }
    | { readonly kind: "deny"; readonly retryAfterMs: number };

/** Returns a budget that holds `tokens`. */
export function initialRetryBudget(policy: RetryBudgetPolicy, nowMs: number, tokens: number): RetryBudgetState {
    return { policy, tokens, updatedAtMs: nowMs };
}

function refill(state: RetryBudgetState, nowMs: number, tokens: number): RetryBudgetState {
    const elapsedMs = Math.max(0, nowMs - state.updatedAtMs);
    const refilled = state.tokens + tokens + elapsedMs / 1_000 * state.policy.perSecond;
    return { ...state, tokens: Math.min(state.policy.maxTokens, refilled), updatedAtMs: Math.max(state.updatedAtMs, nowMs) };
}

/** Adds the tokens of a success, or decides about a retry and takes its token. */
export function retryBudgetReducer(state: RetryBudgetState, event: RetryBudgetEvent): Step<RetryBudgetState, RetryBudgetEffect> {
    if (event.kind === "succeeded") {
        return step(refill(state, event.nowMs, state.policy.perSuccess));
    }
    const refilled = refill(state, event.nowMs, 0);
    if (refilled.tokens < 1) {
        const retryAfterMs = Math.ceil((1 - refilled.tokens) / refilled.policy.perSecond * 1_000);
        return step(refilled, { kind: "deny", retryAfterMs });
    }
    return step({ ...refilled, tokens: refilled.tokens - 1 }, { kind: "grant" });
}

/** A mutable retry budget over `retryBudgetReducer`. */
export class RetryBudget {
    private state: RetryBudgetState;

    /** Starts with a full bucket unless `tokens` is given. */
    constructor(nowMs: number, policy: RetryBudgetPolicy = defaultRetryBudget, tokens = policy.maxTokens) {
        this.state = initialRetryBudget(policy, nowMs, tokens);
    }

    get maxTokens(): number {
        return this.state.policy.maxTokens;
    }

    recordSuccess(nowMs: number) {
        this.state = retryBudgetReducer(this.state, { kind: "succeeded", nowMs }).state;
    }

    /** Takes the token of one retry. Returns undefined if it is granted, else the milliseconds until the next token is available. */
    tryRetry(nowMs: number): number | undefined {
        const { state, effects } = retryBudgetReducer(this.state, { kind: "retry-asked", nowMs });
        this.state = state;
        return effects[0]?.kind === "deny" ? effects[0].retryAfterMs : undefined;
    }
}

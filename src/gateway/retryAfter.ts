/**
 * The Retry-After of a refusal: when a caller that returns can expect to be served.
 *
 * @module
 */

/**
 * The delay as a part of the time that the caller has left; callers retry once, within a third of it. A repair takes about 1.5 s, in which
 * a queue drains as well, so with 6 s left the value is 0.6 to 1.8 s. It is randomised so that callers that are refused together don't
 * return together.
 */
const share = 0.1;
const spread = 0.2;

export interface RetryAfterOptions {
    /** The time that the caller has left. */
    readonly leftMs: number;
    /** The time until the first upstream accepts requests again; 0 if at least one accepts them now. */
    readonly acceptedInMs: number;
    /** Uniform in [0, 1). */
    readonly random: number;
}

/** Returns the delay in ms. It is never shorter than the time for which every upstream has pushed back. */
export function retryAfterMs({ leftMs, acceptedInMs, random }: RetryAfterOptions): number {
    return Math.max(leftMs * share, acceptedInMs) + random * leftMs * spread;
}

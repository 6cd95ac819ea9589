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

/** Callers return within this part of the time that they have left. */
const maxShare = 1 / 3;

export interface RetryAfterWaitOptions extends RetryAfterOptions {
    /** The expected wait for room, in ms; Infinity if none can be expected. */
    readonly waitMs: number;
    /** The time that it takes to serve the refused requests that compete for the room. */
    readonly spreadMs: number;
}

/**
 * Returns the delay in ms where the wait for room is known: until there is room, spread over the time that it takes to serve those that
 * compete for it, and at most a third of the time left. It is never shorter than the time for which every upstream has pushed back.
 */
export function retryAfterWaitMs({ leftMs, acceptedInMs, waitMs, spreadMs, random }: RetryAfterWaitOptions): number {
    const maxMs = leftMs * maxShare;
    const untilRoomMs = Math.min(maxMs, waitMs);
    return Math.max(acceptedInMs, untilRoomMs + random * Math.min(maxMs - untilRoomMs, spreadMs));
}

/**
 * Returns the delay in ms while more requests arrive than are served, which lasts for seconds: in the later half of the time within which
 * callers return. Sooner, they would be refused again, or take the room of callers who can still be served on time.
 */
export function overloadRetryMs({ leftMs, acceptedInMs, random }: RetryAfterOptions): number {
    return Math.max(acceptedInMs, leftMs * maxShare * (1 + random) / 2);
}

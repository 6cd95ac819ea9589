/**
 * The retry delay given to refused callers.
 *
 * @module
 */

const jitterRatio = 0.5;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 60_000;

/**
 * Returns a retry delay of `baseMs`, within the bounds, plus up to half as much again as jitter. Without jitter, callers that are refused
 * at the same time retry at the same time and are refused together again, so that the overload outlives its cause.
 * `random` is at least 0 and below 1.
 */
export function jitteredRetryAfterMs(baseMs: number, random: number): number {
    const boundedMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, baseMs));
    return Math.ceil(boundedMs * (1 + jitterRatio * random));
}

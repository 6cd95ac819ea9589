/**
 * The limits on the number of attempts of one request.
 *
 * @module
 */

/** With less time left than this, another attempt can't produce an answer. */
const minAttemptMs = 40;
/** Extra attempts in place of those that did not run: during a repair two stale heads may be tried before the new one. */
const maxExtraAttempts = 2;

export interface AttemptCounts {
    readonly attempts: number;
    /** Attempts that may have run. */
    readonly possibleRuns: number;
    /** The route's limit, which applies to attempts that may have run. */
    readonly maxAttempts: number;
    /** The time until the answer must be final. */
    readonly leftMs: number;
}

/** Whether number and time allow another attempt. */
export function mayTryAgain({ attempts, possibleRuns, maxAttempts, leftMs }: AttemptCounts): boolean {
    return possibleRuns < maxAttempts && attempts < maxAttempts + maxExtraAttempts && leftMs > minAttemptMs;
}

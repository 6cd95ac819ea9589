/**
 * What an answer of an upstream states about the upstream itself, beside the answer to the request.
 *
 * @module
 */

/** Larger loads and limits than this say no more than it. */
export const maxAmount = 1_000_000;
/** An upstream that states a longer pushback or cold time gets a request after this time, so that one odd answer doesn't take it out. */
export const maxStatedMs = 3_600_000;

export interface UpstreamSignals {
    /** The requests at the upstream when it answered; undefined if it doesn't state them. */
    readonly load: { readonly running: number; readonly waiting: number } | undefined;
    /** Requests per second that the upstream accepts from all entries together; undefined if it states no limit. */
    readonly limitPerSecond: number | undefined;
    /** How long the upstream wants no requests from this VM; undefined if it doesn't push back. */
    readonly pushbackMs: number | undefined;
    /** How much longer the upstream is cold, in ms; undefined if it doesn't state it. */
    readonly coldForMs: number | undefined;
    /** Whether the upstream is about to leave. */
    readonly isLeaving: boolean;
}

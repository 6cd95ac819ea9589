/**
 * The state that one boot of a sidecar keeps about attempts.
 *
 * @module
 */

import type { PersistentMap } from "../runtime/index.js";

/** An attempt that waits for the start limiter's answer or is running. */
export interface LiveAttempt {
    readonly state: "asking" | "running";
    readonly idempotent: boolean;
    readonly fingerprint: string;
    readonly sharedParts: readonly string[];
    readonly suspect: boolean;
}

/** The final state of an attempt that has ended or was never started. */
export type PastAttemptState = "ended" | "refused" | "barred";

export interface RegistryState {
    readonly bootId: string;
    readonly live: ReadonlyMap<string, LiveAttempt>;
    /** Two generations of past ids. The previous one is dropped as a whole, so that expiry takes constant time for any number of ids. */
    readonly currentGeneration: PersistentMap<PastAttemptState>;
    readonly previousGeneration: PersistentMap<PastAttemptState>;
    readonly generationStartedMs: number;
    /** When ids were last dropped before the end of their retention; unset if never. */
    readonly evictedEarlyAtMs?: number | undefined;
}

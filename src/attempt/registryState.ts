/**
 * What one boot of a sidecar remembers of attempts.
 *
 * @module
 */

import type { PersistentMap } from "../runtime/index.js";

/** An attempt that the start limiter was asked about, or that runs. */
export interface LiveAttempt {
    readonly state: "asking" | "running";
    readonly idempotent: boolean;
    readonly fingerprint: string;
    readonly suspect: boolean;
}

/** What is remembered of an attempt that is over, or never began. */
export type PastAttempt = "ended" | "refused" | "barred";

export interface RegistryState {
    readonly bootId: string;
    readonly live: ReadonlyMap<string, LiveAttempt>;
    /** Two generations of past ids: the older is dropped whole, so that remembering costs the same at any number of ids. */
    readonly newer: PersistentMap<PastAttempt>;
    readonly older: PersistentMap<PastAttempt>;
    readonly newerSinceMs: number;
    /** When ids were last forgotten before their time; unset if never. */
    readonly forgotAtMs?: number | undefined;
}

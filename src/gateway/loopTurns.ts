/**
 * Since when a signal that is heard now may have been pending.
 *
 * @module
 */

export interface LoopTurns {
    /** To be called by a frequent timer. */
    turned(): void;
    /** A signal that is heard now can't have come before. */
    readonly signalledAfterMs: number;
}

/** Creates the account; the first turn is now. */
export function createLoopTurns(nowMs: () => number): LoopTurns {
    let lastMs = nowMs();
    let beforeLastMs = lastMs;
    return {
        turned() {
            beforeLastMs = lastMs;
            lastMs = nowMs();
        },
        get signalledAfterMs() {
            // After a pause of the process the timers run before its signals are heard: the last turn may be later than the signal.
            return beforeLastMs;
        },
    };
}

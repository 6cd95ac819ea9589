/**
 * Determines how long a process signal that is being handled now may have been pending, and whether the event loop was blocked.
 *
 * @module
 */

export interface LoopTicks {
    /** Must be called by a frequent timer. */
    tick(): void;
    /** A signal that is being handled now can't have arrived before this time. */
    readonly earliestSignalMs: number;
    /** Whether no tick came for longer than `blockedAfterMs` at some time since `sinceMs`, so that what was read then may have waited. */
    hasBlockedSince(sinceMs: number): boolean;
}

/** Creates a tracker whose first tick is now. The event loop counts as blocked if there is no tick for `blockedAfterMs`. */
export function createLoopTicks(nowMs: () => number, blockedAfterMs = Infinity): LoopTicks {
    let lastTickMs = nowMs();
    let previousTickMs = lastTickMs;
    let blockedUntilMs = Number.NEGATIVE_INFINITY;
    return {
        tick() {
            blockedUntilMs = nowMs() - lastTickMs > blockedAfterMs ? nowMs() : blockedUntilMs;
            previousTickMs = lastTickMs;
            lastTickMs = nowMs();
        },
        get earliestSignalMs() {
            // After a pause of the process, timers run before signal handlers, so the last tick may be later than the signal.
            return previousTickMs;
        },
        hasBlockedSince: sinceMs => blockedUntilMs > sinceMs || nowMs() - lastTickMs > blockedAfterMs,
    };
}

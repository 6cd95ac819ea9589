/**
 * The clock used for leases.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** A monotonic clock in milliseconds. */
export interface Clock {
    nowMs(): number;
}

/**
 * Creates a clock that advances by the larger of the monotonic and the wall-clock advance. The monotonic clock of a suspended VM stops: a
 * lease measured by it alone would appear valid after a long pause, and a leader VM would continue to stream while its members serve
 * another replica. The wall clock includes the pause, and the monotonic clock covers a wall clock that is set back. Running fast is safe,
 * because it only makes leases expire early.
 */
export function createLeaseClock(
    monotonicMs: () => number = () => performance.now(),
    wallMs: () => number = () => Date.now(),
): Clock {
    let lastMonotonicMs = monotonicMs();
    let lastWallMs = wallMs();
    let totalMs = lastMonotonicMs;
    return {
        nowMs() {
            const monotonic = monotonicMs();
            const wall = wallMs();
            totalMs += Math.max(0, monotonic - lastMonotonicMs, wall - lastWallMs);
            lastMonotonicMs = monotonic;
            lastWallMs = wall;
            return totalMs;
        },
    };
}

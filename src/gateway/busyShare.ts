/**
 * Measures which part of the time the event loop was busy.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** Returns a function that returns the part of the time since its previous call during which the loop did not wait for events. */
export function createBusyShare(): () => number {
    let last = performance.eventLoopUtilization();
    return () => {
        const current = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(current, last);
        last = current;
        return Number.isFinite(utilization) ? utilization : 0;
    };
}

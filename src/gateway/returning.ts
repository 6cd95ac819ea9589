/**
 * Tells how long a caller has waited before this attempt.
 *
 * The pattern it answers: callers of a model that is short of VMs are refused and come back, so that more seems to be asked of it than is.
 * Attempts say only how long their caller waits on, so the longest such time seen on a route lately is taken for that of a first attempt.
 * Callers that always wait less than others are at most taken for returning ones, and their work is not counted.
 *
 * @module
 */

/** How long the longest time is remembered, at least: many requests of any route in use come within it. */
const windowMs = 10_000;

interface Longest {
    sinceMs: number;
    inWindowMs: number;
    beforeMs: number;
}

export interface Returning {
    /** Takes in that a caller on `route` waits `leftMs` more; gives how long it has waited before. */
    waitedMs(route: string, leftMs: number): number;
}

/** Creates a memory of the last windows, without any. */
export function createReturning(nowMs: () => number): Returning {
    const byRoute = new Map<string, Longest>();

    function longestOf(route: string): Longest {
        const known = byRoute.get(route);
        if (known !== undefined && nowMs() - known.sinceMs < windowMs) {
            return known;
        }
        const isRecent = known !== undefined && nowMs() - known.sinceMs < 2 * windowMs;
        const fresh: Longest = { sinceMs: nowMs(), inWindowMs: 0, beforeMs: isRecent ? known.inWindowMs : 0 };
        byRoute.set(route, fresh);
        return fresh;
    }

    return {
        waitedMs(route, leftMs) {
            const longest = longestOf(route);
            longest.inWindowMs = Math.max(longest.inWindowMs, leftMs);
            return Math.max(longest.inWindowMs, longest.beforeMs) - leftMs;
        },
    };
}

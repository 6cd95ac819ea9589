/**
 * Limits the share of the process's time that planning takes. Heartbeats and leases of the replicated log, announcements of upstreams
 * and operator calls wait while a planning step runs. If every change triggered a step, a site of hundreds of VMs that loses several VMs
 * per second would keep its leader so busy that it loses its lease, and no groups would be repaired.
 *
 * @module
 */

const maxPlanningShare = 0.2;

export interface PlanPacer {
    /** Runs `step`, or skips it if the delay after the previous step has not passed yet. */
    runIfDue(step: () => void): void;
    /** Time until the next step may run; 0 if it may run now. */
    readonly waitMs: number;
}

/** Creates a pacer whose first step may run at once. */
export function createPlanPacer(nowMs: () => number): PlanPacer {
    let nextStepAtMs = Number.NEGATIVE_INFINITY;
    return {
        runIfDue(step) {
            const startMs = nowMs();
            if (startMs < nextStepAtMs) {
                return;
            }
            step();
            const tookMs = nowMs() - startMs;
            nextStepAtMs = startMs + tookMs / maxPlanningShare;
        },
        get waitMs() {
            return Math.max(0, nextStepAtMs - nowMs());
        },
    };
}

/**
 * Runs a task soon after it is requested, but with a minimum interval, so that requests in quick succession share one run.
 *
 * @module
 */

export interface PacedTask {
    /** Runs the task at the end of the present turn of the event loop, or once the interval since its last run has passed. */
    request(): void;
    /** Runs the task now. */
    runNow(): void;
    /** Drops a pending request. */
    cancel(): void;
}

/** Creates a task that has not run yet. */
export function createPacedTask(run: () => void, minIntervalMs: number, nowMs: () => number): PacedTask {
    let immediate: NodeJS.Immediate | undefined;
    let timer: NodeJS.Timeout | undefined;
    let ranAtMs = Number.NEGATIVE_INFINITY;

    function cancel() {
        clearImmediate(immediate);
        clearTimeout(timer);
        immediate = undefined;
        timer = undefined;
    }

    function runNow() {
        cancel();
        ranAtMs = nowMs();
        run();
    }

    return {
        request() {
            if (immediate !== undefined || timer !== undefined) {
                return;
            }
            const waitMs = ranAtMs + minIntervalMs - nowMs();
            if (waitMs > 0) {
                timer = setTimeout(runNow, waitMs);
            }
            else {
                immediate = setImmediate(runNow);
            }
        },
        runNow,
        cancel,
    };
}

/**
 * A timeout for a remote answer that allows for a blocked event loop. Node.js runs expired timers before it polls for I/O: with a plain
 * timer, once the loop was blocked for longer than the timeout, answers that had arrived but were not yet read would count as missing.
 *
 * @module
 */

/** A timer that fires later than this indicates that the event loop was blocked. */
const lateThresholdMs = 20;
/** Ensures that a timeout expires even if the event loop is blocked repeatedly. */
const maxExtensions = 3;

/**
 * Calls `expired` after `timeoutMs`. A timer that fires late is extended by its lateness, by at most `timeoutMs` each time, so that pending
 * answers can be read first. Returns a function that cancels the timeout.
 */
export function startAnswerTimeout(timeoutMs: number, expired: () => void): () => void {
    let timer: NodeJS.Timeout;
    let extensions = 0;

    function wait(ms: number) {
        const dueAtMs = performance.now() + ms;
        timer = setTimeout(() => {
            const lateMs = performance.now() - dueAtMs;
            if (lateMs > lateThresholdMs && extensions < maxExtensions) {
                extensions++;
                wait(Math.min(lateMs, timeoutMs));
                return;
            }
            expired();
        }, ms);
    }

    wait(timeoutMs);
    return () => clearTimeout(timer);
}

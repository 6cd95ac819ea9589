/**
 * Reports exceptions: those that cost one request, frame or task, and the one that ends the process.
 *
 * @module
 */

import type { ExceptionCost } from "./exposition.js";
import type { Logger } from "./logger.js";

export interface ExceptionLog {
    /** Counts an exception that was contained, and writes its stack with `fields`. */
    record(cost: ExceptionCost, error: unknown, fields?: object): void;
}

export interface ExceptionLogOptions {
    readonly logger: Pick<Logger, "error">;
    count(cost: ExceptionCost): void;
    nowMs(): number;
}

/** A task that fails each time it runs would write some twenty stacks a second. */
const lineIntervalMs = 1_000;
/** Exit status of a process that an exception has ended, as without a handler. */
const exceptionExitCode = 1;

/** Describes what was thrown: the stack of an error, which begins with its message, or the text of any other value. */
function describeException(error: unknown): string {
    return error instanceof Error ? error.stack ?? error.message : String(error);
}

/** Creates a log of contained exceptions. It writes at most one line a second, which tells how many were left out before it. */
export function createExceptionLog({ logger, count, nowMs }: ExceptionLogOptions): ExceptionLog {
    let nextLineAtMs = -Infinity;
    let linesLeftOut = 0;
    return {
        record(cost, error, fields = {}) {
            count(cost);
            if (nowMs() < nextLineAtMs) {
                linesLeftOut++;
                return;
            }
            logger.error("exception contained", { cost, error: describeException(error), linesLeftOut, ...fields });
            nextLineAtMs = nowMs() + lineIntervalMs;
            linesLeftOut = 0;
        },
    };
}

/** Where a process writes why it ends. `flushLog` resolves once lines that are still held are written, or after a short time. */
export interface FatalLog {
    readonly logger: Pick<Logger, "error">;
    flushLog(): Promise<void>;
}

/**
 * Has the process write why it ends when an exception or a rejected promise reaches the top, and then end with status 1: what it was doing
 * is left half-done, so it can't go on.
 */
export function logFatalException(currentLog: () => FatalLog) {
    let isEnding = false;
    process.on("uncaughtException", (error, origin) => {
        const { logger, flushLog } = currentLog();
        logger.error("ending because of an exception", { origin, error: describeException(error) });
        if (!isEnding) {
            isEnding = true;
            void flushLog().finally(() => process.exit(exceptionExitCode));
        }
    });
}

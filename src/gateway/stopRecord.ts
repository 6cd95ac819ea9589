/**
 * What happens to requests while an entry stops, in log lines and counts: enough to tell why one was taken late or cut off.
 *
 * @module
 */

import type { Logger } from "../telemetry/index.js";

/** A request that came after the stop had begun. */
export interface TakenRequest {
    readonly attemptId: string | undefined;
    /** Requests that its connection had carried before. */
    readonly carried: number;
    readonly outcome: "served" | "refused";
}

/** What requests are counted by while an entry stops. */
export interface StopLabels {
    readonly listener: "open" | "closed";
    readonly connection: "unused" | "kept";
    readonly outcome: TakenRequest["outcome"] | "cut-off";
}

export interface StopRecord {
    begun(): void;
    listenerClosed(): void;
    taken(request: TakenRequest): void;
    cutOff(request: { readonly attemptId: string | undefined; readonly carried: number; readonly upstream: string | undefined }): void;
    /** Lines beyond the limit; their requests are counted all the same. */
    readonly linesLeftOut: number;
}

export interface StopRecordOptions {
    readonly logger: Logger;
    nowMs(): number;
    count(labels: StopLabels): void;
}

/** Lines about single requests in one stop, at most. */
const mostLines = 1_000;

/** Creates the record of one entry. */
export function createStopRecord(options: StopRecordOptions): StopRecord {
    const { logger, nowMs, count } = options;
    let begunAtMs: number | undefined;
    let listener: StopLabels["listener"] = "open";
    let lines = 0;

    const connectionOf = (carried: number): StopLabels["connection"] => carried === 0 ? "unused" : "kept";

    function write(message: string, facts: object) {
        lines++;
        if (lines <= mostLines) {
            logger.info(message, { ...facts, sinceStopMs: Math.round(nowMs() - begunAtMs!), listener });
        }
    }

    return {
        begun() {
            begunAtMs = nowMs();
        },
        listenerClosed() {
            listener = "closed";
        },
        taken({ attemptId, carried, outcome }) {
            if (begunAtMs === undefined) {
                return;
            }
            count({ listener, connection: connectionOf(carried), outcome });
            write("request taken while stopping", { request: attemptId, carried, outcome });
        },
        cutOff({ attemptId, carried, upstream }) {
            if (begunAtMs === undefined) {
                return;
            }
            count({ listener, connection: connectionOf(carried), outcome: "cut-off" });
            write("request cut off by the stop", { request: attemptId, carried, upstream });
        },
        get linesLeftOut() {
            return Math.max(0, lines - mostLines);
        },
    };
}

/**
 * Logs and counts the requests that arrive or are cut off while an entry shuts down, in enough detail to explain each of them.
 *
 * @module
 */

import type { Logger } from "../telemetry/index.js";

/** A request that arrived after the shutdown had started. */
export interface TakenRequest {
    readonly attemptId: string | undefined;
    /** The number of earlier requests on its connection. */
    readonly carried: number;
    readonly outcome: "served" | "refused";
}

/** Metric labels of requests during a shutdown. */
export interface StopLabels {
    readonly listener: "open" | "closed";
    readonly connection: "unused" | "kept";
    readonly outcome: TakenRequest["outcome"] | "cut-off";
}

export interface StopRecord {
    stopStarted(): void;
    listenerClosed(): void;
    requestTaken(request: TakenRequest): void;
    requestCutOff(
        request: { readonly attemptId: string | undefined; readonly carried: number; readonly upstream: string | undefined }
    ): void;
    /** The number of log lines dropped due to the limit. Their requests are still counted. */
    readonly droppedLogLines: number;
}

export interface StopRecordOptions {
    readonly logger: Logger;
    nowMs(): number;
    count(labels: StopLabels): void;
}

/** Maximum number of log lines about single requests in one shutdown. */
const maxLines = 1_000;

/** Creates the record of one entry; it is inactive until `stopStarted` is called. */
export function createStopRecord(options: StopRecordOptions): StopRecord {
    const { logger, nowMs, count } = options;
    let startedAtMs: number | undefined;
    let listener: StopLabels["listener"] = "open";
    let lines = 0;

    const connectionOf = (carried: number): StopLabels["connection"] => carried === 0 ? "unused" : "kept";

    function write(message: string, fields: object) {
        lines++;
        if (lines <= maxLines) {
            logger.info(message, { ...fields, sinceStopMs: Math.round(nowMs() - startedAtMs!), listener });
        }
    }

    return {
        stopStarted() {
            startedAtMs = nowMs();
        },
        listenerClosed() {
            listener = "closed";
        },
        requestTaken({ attemptId, carried, outcome }) {
            if (startedAtMs === undefined) {
                return;
            }
            count({ listener, connection: connectionOf(carried), outcome });
            write("request taken while stopping", { request: attemptId, carried, outcome });
        },
        requestCutOff({ attemptId, carried, upstream }) {
            if (startedAtMs === undefined) {
                return;
            }
            count({ listener, connection: connectionOf(carried), outcome: "cut-off" });
            write("request cut off by the stop", { request: attemptId, carried, upstream });
        },
        get droppedLogLines() {
            return Math.max(0, lines - maxLines);
        },
    };
}

/**
 * The state of a queue: queued requests by organisation, running requests, and the estimates from finished ones.
 *
 * @module
 */

import type { FairQueue, FairRequest } from "./fairQueue.js";

/** The properties of a request that the queue uses. */
export interface QueuedRequest extends FairRequest {
    readonly serviceClass: string;
    /** When its first token is due. */
    readonly dueMs: number;
    /** When its answer is no longer useful to the caller. */
    readonly deadlineMs: number;
}

export interface QueuePolicy {
    readonly maxQueued: number;
}

export interface RunningRequest extends QueuedRequest {
    readonly startedMs: number;
}

/** Moving averages over finished requests; undefined until the first sample. */
export interface QueueEstimates {
    readonly msPerWork: number | undefined;
    readonly firstTokenMs: number | undefined;
}

export interface QueueState extends FairQueue<QueuedRequest> {
    readonly policy: QueuePolicy;
    readonly slots: number;
    readonly running: ReadonlyMap<string, RunningRequest>;
    readonly estimates: QueueEstimates;
}

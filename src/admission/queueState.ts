/**
 * What a queue holds: requests by organisation, those that run, and the estimates from their answers.
 *
 * @module
 */

/** One request as the queue sees it. */
export interface QueuedRequest {
    readonly id: string;
    readonly organisation: string;
    readonly serviceClass: string;
    /** When its first token is due. */
    readonly dueMs: number;
    /** When its answer is of no use any more. */
    readonly deadlineMs: number;
    /** The estimated work, in any one unit; above 0. */
    readonly work: number;
}

export interface QueuePolicy {
    readonly maxQueued: number;
}

/** One organisation's waiting requests, by due time, and its place in virtual time. */
export interface OrganisationQueue {
    readonly waiting: readonly QueuedRequest[];
    readonly startTag: number;
}

export interface RunningRequest extends QueuedRequest {
    readonly startedMs: number;
}

/** Measured by the shell's finished requests; undefined until the first. */
export interface QueueEstimates {
    readonly msPerWork: number | undefined;
    readonly firstTokenMs: number | undefined;
}

export interface QueueState {
    readonly policy: QueuePolicy;
    readonly slots: number;
    readonly virtualTime: number;
    readonly organisations: ReadonlyMap<string, OrganisationQueue>;
    readonly queued: number;
    readonly running: ReadonlyMap<string, RunningRequest>;
    readonly estimates: QueueEstimates;
}

/**
 * What the admission of streams takes and decides.
 *
 * @module
 */

import type { ParsedRequest } from "./parsedRequest.js";
import type { Candidate } from "./siteView.js";

/** A request that asks for room. */
export interface Submission {
    readonly request: ParsedRequest;
    readonly service: string;
    readonly model: string;
    /** Returns the best of these candidates; undefined if the request may be sent to none of them now. */
    choose(candidates: readonly Candidate[]): Candidate | undefined;
}

/** What a refusal was based on, for the log. */
export interface RefusalInputs {
    readonly waitedMs: number;
    readonly waiting: number;
    readonly expectedWaitMs: number | undefined;
    /** The requests that this entry could still have sent to all groups, and those of them kept for more urgent ones. */
    readonly room: number;
    readonly reserved: number;
    /** The requests at the groups and their limits together, by a view of this age. */
    readonly running: number;
    readonly limit: number;
    readonly viewAgeMs: number | undefined;
}

export type RefusalCause = "expected-wait" | "expired" | "queue-full" | "bytes-full" | "gone" | "stopping";

export type AdmissionDecision =
    /** `released` has to be called once the request occupies no room there any more. */
    | {
        readonly kind: "send"; readonly candidate: Candidate; readonly isLate: boolean; readonly waitedMs: number;
        released(): void;
    }
    /** The request has not been sent to any upstream. */
    | { readonly kind: "refuse"; readonly reason: string; readonly retryAfterMs: number; readonly inputs: RefusalInputs }
    /** Its room can't be predicted: fixed bounds apply. */
    | { readonly kind: "unpredicted" };

/** Gives back the room of a decision on a request that has ended meanwhile. */
export function releaseRoom(decision: AdmissionDecision): void {
    if (decision.kind === "send") {
        decision.released();
    }
}

export interface AdmissionRecord {
    readonly route: string;
    readonly priority: number;
    readonly outcome: "sent" | "sent-late" | "refused" | "left";
    readonly cause?: RefusalCause;
    readonly waitedMs: number;
}

/** The reasons as callers and the log see them. */
export const refusalReasons: Record<RefusalCause, string> = {
    "expected-wait": "its wait for an upstream would be too long",
    expired: "no upstream had room for it in time",
    "queue-full": "too many requests wait for an upstream",
    "bytes-full": "too many bytes wait for an upstream",
    gone: "its model is no longer served",
    stopping: "this entry is stopping",
};

/**
 * The state, events and effects of one request at an entry.
 *
 * @module
 */

import type { ChunkList } from "./chunks.js";
import type { Problem, RefusalCode, Execution } from "./refusals.js";

/** The properties of a request that are fixed on admission. */
export interface RequestParams {
    readonly requestId: string;
    readonly idempotent: boolean;
    /** Set for non-idempotent work with an idempotency key, which is claimed before the first dispatch. */
    readonly claimed: boolean;
    /** Whether the answer is an event stream, which is forwarded as it arrives. Any other answer is buffered until it is complete. */
    readonly eventStream: boolean;
    /** Whether an engine can continue the answer that another engine began. */
    readonly continuable: boolean;
    readonly suspect: boolean;
    readonly deadlineAtMs: number;
    readonly limits: RequestLimits;
}

export interface RequestLimits {
    readonly maxAttempts: number;
    /** The time without events on a connection after which a new one is opened. */
    readonly silenceTimeoutMs: number;
    /** Consecutive connections without an event from the sidecar after which it counts as unreachable. */
    readonly maxReconnects: number;
    /** The wait before the second of these connections. It doubles with each further one. */
    readonly reconnectBackoffMs: number;
    /** The size up to which an answer that is not an event stream is buffered, so that it can be restarted on another upstream. */
    readonly maxBufferedBytes: number;
    /** The number of events between two acknowledgements. */
    readonly acknowledgeInterval: number;
    /** How long to wait for the outcome of non-idempotent work after its caller has left or been answered. */
    readonly detachedTimeoutMs: number;
    /** The retry delay given for a failure that states none. */
    readonly retryAfterMs: number;
}

export const defaultRequestLimits: RequestLimits = {
    maxAttempts: 4,
    silenceTimeoutMs: 1_000,
    maxReconnects: 3,
    reconnectBackoffMs: 100,
    maxBufferedBytes: 1_048_576,
    acknowledgeInterval: 256,
    detachedTimeoutMs: 60_000,
    retryAfterMs: 1_000,
};

/** The upstream chosen for an attempt, and its sidecar. */
export interface ChosenUpstream {
    readonly upstreamId: string;
    readonly address: string;
    readonly sidecarBootId: string;
    readonly epoch: number;
}

export interface AnswerHead {
    readonly status: number;
    readonly headers: readonly { readonly name: string; readonly value: string }[];
}

/** An event of an attempt as sent by the sidecar. Heartbeats have sequence 0 and are not logged. */
export type AttemptEvent =
    | { readonly kind: "heartbeat" }
    | { readonly kind: "started"; readonly head: AnswerHead }
    | { readonly kind: "chunk"; readonly data: Uint8Array }
    | { readonly kind: "end"; readonly chunks: number; readonly bytes: number }
    | {
        readonly kind: "failure";
        readonly code: RefusalCode;
        readonly execution: Execution;
        readonly retryAfterMs: number;
        readonly detail: string;
    };

/**
 * `barred`: the sidecar had never seen the attempt, and will refuse it from now on. `unknown`: the sidecar may have forgotten the attempt,
 * since it has restarted or has discarded ids early.
 */
export type TombstoneState = "barred" | "refused" | "running" | "ended" | "unknown" | "unreachable";

export type ClaimAnswer =
    | { readonly outcome: "granted" }
    | { readonly outcome: "in-progress" | "unknown" | "other-body" | "expired" | "not-dated" | "unavailable" }
    | { readonly outcome: "delivered"; readonly head: AnswerHead; readonly body: Uint8Array | undefined };

export type RequestEvent = { readonly nowMs: number } & (
    | { readonly kind: "admitted" }
    | { readonly kind: "claim-answered"; readonly answer: ClaimAnswer }
    | { readonly kind: "upstream-chosen"; readonly attemptId: string; readonly upstream: ChosenUpstream }
    | { readonly kind: "upstream-lacking"; readonly code: RefusalCode; readonly retryAfterMs: number }
    | {
        readonly kind: "attempt-event";
        readonly attemptId: string;
        readonly connection: number;
        readonly sequence: number;
        readonly event: AttemptEvent;
    }
    | { readonly kind: "link-lost" | "resume-refused"; readonly attemptId: string; readonly connection: number }
    | { readonly kind: "tombstone-answered"; readonly attemptId: string; readonly state: TombstoneState }
    | { readonly kind: "silence-due" | "link-retry-due"; readonly attemptId: string }
    | { readonly kind: "deadline-due" | "detached-due" | "caller-gone" });

export interface AttemptState {
    readonly attemptId: string;
    readonly upstream: ChosenUpstream;
    /** The number of the newest connection of this attempt. The loss of an older one is ignored. */
    readonly connection: number;
    readonly link: "open" | "resuming" | "asking" | "waiting";
    readonly nextSequence: number;
    readonly acknowledged: number;
    /** The chunks and bytes received in this attempt, for comparison with the counts in its end event. */
    readonly chunks: number;
    readonly bytes: number;
    /** Whether the sidecar is known to have received the dispatch, by an event or by its answer to a tombstone request. */
    readonly dispatchConfirmed: boolean;
    readonly lastReceivedMs: number;
    /** Consecutive reconnects without an event. */
    readonly reconnects: number;
}

export interface RequestState {
    readonly params: RequestParams;
    readonly phase: "new" | "claiming" | "choosing" | "running" | "done";
    readonly attempt?: AttemptState | undefined;
    readonly attempts: number;
    readonly excluded: readonly string[];
    /** Whether a finished attempt may have reached an upstream. If so, no refusal may say `not-run`. */
    readonly mayHaveRun: boolean;
    /** False once the caller has left, or has received its final answer while the work is still running. */
    readonly callerPresent: boolean;
    readonly suspect: boolean;
    /** `open` once the head has been sent to the caller. */
    readonly delivery: "held" | "open";
    readonly head?: AnswerHead | undefined;
    /** The chunks of the answer: buffered ones if `delivery` is `held`, else those already sent. */
    readonly chunks: ChunkList;
}

export type RequestTimer = "silence" | "link-retry" | "deadline" | "detached";

export type RequestEffect =
    | { readonly kind: "claim" }
    | { readonly kind: "finish-claim"; readonly outcome: "not-run" | "unknown" }
    | { readonly kind: "finish-claim"; readonly outcome: "delivered"; readonly head: AnswerHead; readonly chunks: ChunkList }
    | { readonly kind: "choose"; readonly excluded: readonly string[]; readonly retry: boolean; readonly suspect: boolean }
    | {
        readonly kind: "dispatch";
        readonly attemptId: string;
        readonly upstream: ChosenUpstream;
        readonly connection: number;
        readonly suspect: boolean;
        readonly continueFrom: number;
        readonly continueText: string;
    }
    | {
        readonly kind: "resume";
        readonly attemptId: string;
        readonly upstream: ChosenUpstream;
        readonly connection: number;
        readonly fromSequence: number;
    }
    | { readonly kind: "tombstone"; readonly attemptId: string; readonly upstream: ChosenUpstream }
    | { readonly kind: "acknowledge"; readonly attemptId: string; readonly upstream: ChosenUpstream; readonly throughSequence: number }
    | { readonly kind: "cancel"; readonly attemptId: string; readonly upstream: ChosenUpstream }
    | { readonly kind: "deliver-head"; readonly head: AnswerHead }
    | { readonly kind: "deliver-chunk"; readonly data: Uint8Array }
    | { readonly kind: "deliver-end" }
    /** Delivers a refusal: as the whole answer if no head has been sent, else as the typed last event of the stream. */
    | { readonly kind: "deliver-problem"; readonly problem: Problem; readonly inStream: boolean }
    | { readonly kind: "clear-suspect" }
    | { readonly kind: "arm"; readonly timer: RequestTimer; readonly delayMs: number; readonly attemptId?: string }
    | { readonly kind: "count"; readonly name: RequestCounter }
    /** The request has ended: its timers, connections and spans can be closed. */
    | { readonly kind: "close" };

export type RequestCounter =
    | "retried"
    | "resumed"
    | "continued"
    | "late-event-dropped"
    | "duplicate-event-dropped"
    | "gap-seen"
    | "detached"
    | "delivered"
    | "refused";

export type RequestStep = { readonly state: RequestState; readonly effects: readonly RequestEffect[] };

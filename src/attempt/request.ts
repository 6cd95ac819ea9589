/**
 * The state machine of one request at an entry, from admission to its final answer.
 *
 * Invariants:
 * - The caller receives one final answer.
 * - An answer is reported as complete only if every chunk arrived in sequence and the counts in the end event match.
 * - A refusal says `not-run` only if every attempt is known not to have reached an upstream.
 * - Non-idempotent work is not dispatched again if an earlier attempt may have run.
 *
 * The caller of the reducer chooses the upstreams and performs the I/O.
 *
 * @module
 */

import type { Step } from "../runtime/index.js";
import { step, unchanged } from "../runtime/index.js";
import { emptyChunks } from "./chunks.js";
import { continuationOf } from "./continuation.js";
import type { RefusalCode } from "./refusals.js";
import { refuse, replay } from "./requestFinish.js";
import { receive } from "./requestReceive.js";
import { linkLost, linkRetryDue, resumeRefused, silenceDue, tombstoneAnswered } from "./requestLink.js";
import type { ChosenUpstream, ClaimAnswer, RequestEffect, RequestEvent, RequestParams, RequestState } from "./requestTypes.js";

type Result = Step<RequestState, RequestEffect>;

/** Returns the state of a request that has not been admitted yet. */
export function newRequest(params: RequestParams): RequestState {
    return {
        params,
        phase: "new",
        attempts: 0,
        excluded: [],
        mayHaveRun: false,
        callerPresent: true,
        suspect: params.suspect,
        delivery: "held",
        chunks: emptyChunks,
    };
}

function admitted(state: RequestState, nowMs: number): Result {
    const deadline: RequestEffect = { kind: "arm", timer: "deadline", delayMs: Math.max(0, state.params.deadlineAtMs - nowMs) };
    if (state.params.claimed) {
        return step<RequestState, RequestEffect>({ ...state, phase: "claiming" }, deadline, { kind: "claim" });
    }
    const choose: RequestEffect = { kind: "choose", excluded: [], retry: false, suspect: state.suspect };
    return step<RequestState, RequestEffect>({ ...state, phase: "choosing" }, deadline, choose);
}

function claimAnswered(state: RequestState, answer: ClaimAnswer): Result {
    const { retryAfterMs } = state.params.limits;
    if (!state.callerPresent) {
        // The caller left while the claim was pending. Nothing has been dispatched, so the key is released.
        const releaseClaim: readonly RequestEffect[] = answer.outcome === "granted" ? [{ kind: "finish-claim", outcome: "not-run" }] : [];
        return step<RequestState, RequestEffect>({ ...state, phase: "done" }, ...releaseClaim, { kind: "close" });
    }
    switch (answer.outcome) {
        case "granted":
            return step<RequestState, RequestEffect>(
                { ...state, phase: "choosing" },
                { kind: "choose", excluded: [], retry: false, suspect: state.suspect },
            );
        case "delivered":
            return replay(state, answer.head, answer.body);
        case "in-progress":
            return refuse(state, "in-progress", "unknown", retryAfterMs, "keep");
        case "unknown":
            return refuse(state, "outcome-unknown", "unknown", 0, "keep");
        case "other-body":
            return refuse(state, "key-reused", "not-run", 0, "keep");
        case "expired":
            return refuse(state, "key-expired", "unknown", 0, "keep");
        case "not-dated":
            return refuse(state, "key-not-dated", "not-run", 0, "keep");
        case "unavailable":
            // The claim may still commit. Releasing it makes the key usable; a claim that commits later still ends as unknown.
            return refuse(state, "claims-unavailable", "not-run", retryAfterMs, "settle");
    }
}

function upstreamChosen(state: RequestState, nowMs: number, attemptId: string, upstream: ChosenUpstream): Result {
    if (state.phase !== "choosing") {
        return unchanged(state);
    }
    const isContinuation = state.delivery === "open";
    const continueText = isContinuation ? continuationOf(state.chunks)?.text ?? "" : "";
    const attempt = {
        attemptId, upstream, connection: 1, link: "open" as const, nextSequence: 1, acknowledged: 0, chunks: 0, bytes: 0,
        dispatchConfirmed: false, lastReceivedMs: nowMs, reconnects: 0,
    };
    return step<RequestState, RequestEffect>(
        { ...state, phase: "running", attempt, attempts: state.attempts + 1 },
        {
            kind: "dispatch",
            attemptId,
            upstream,
            connection: 1,
            suspect: state.suspect,
            continueFrom: isContinuation ? state.chunks.count : 0,
            continueText,
        },
        { kind: "arm", timer: "silence", delayMs: state.params.limits.silenceTimeoutMs, attemptId },
    );
}

function refuseWithoutUpstream(state: RequestState, code: RefusalCode, retryAfterMs: number): Result {
    return refuse(state, code, state.mayHaveRun ? "unknown" : "not-run", retryAfterMs, "settle");
}

/** Returns whether an attempt is in flight, in which case its work may run whatever the caller is told. */
function isInFlight(state: RequestState): boolean {
    return state.phase === "running" && state.attempt !== undefined;
}

/** Keeps following work whose caller has left or been answered, since it may still take effect, so that its outcome can be stored. */
function detach(state: RequestState, effects: readonly RequestEffect[]): Result {
    return step<RequestState, RequestEffect>(
        { ...state, callerPresent: false },
        ...effects,
        { kind: "arm", timer: "detached", delayMs: state.params.limits.detachedTimeoutMs },
        { kind: "count", name: "detached" },
    );
}

function deadlineDue(state: RequestState): Result {
    if (!state.callerPresent) {
        return unchanged(state);
    }
    const { retryAfterMs } = state.params.limits;
    if (!isInFlight(state)) {
        return refuse(state, "deadline-exceeded", state.mayHaveRun ? "unknown" : "not-run", retryAfterMs, "settle");
    }
    if (state.params.idempotent) {
        return refuse({ ...state, mayHaveRun: true }, "deadline-exceeded", "unknown", retryAfterMs, "settle");
    }
    const { effects } = refuse(state, "deadline-exceeded", "unknown", retryAfterMs, "keep");
    return detach(state, effects.filter(effect => effect.kind === "deliver-problem" || effect.kind === "count"));
}

function callerGone(state: RequestState): Result {
    if (!state.callerPresent) {
        return unchanged(state);
    }
    if (state.phase === "claiming") {
        return step({ ...state, callerPresent: false });
    }
    if (isInFlight(state) && !state.params.idempotent) {
        return detach(state, []);
    }
    const { attempt } = state;
    const cancellation: readonly RequestEffect[] = attempt === undefined
        ? []
        : [{ kind: "cancel", attemptId: attempt.attemptId, upstream: attempt.upstream }];
    const releaseClaim: readonly RequestEffect[] = state.params.claimed ? [{ kind: "finish-claim", outcome: "not-run" }] : [];
    return step<RequestState, RequestEffect>(
        { ...state, phase: "done", callerPresent: false, attempt: undefined }, ...cancellation, ...releaseClaim, { kind: "close" },
    );
}

function detachedDue(state: RequestState): Result {
    if (state.callerPresent) {
        return unchanged(state);
    }
    const finishClaim: readonly RequestEffect[] = state.params.claimed ? [{ kind: "finish-claim", outcome: "unknown" }] : [];
    return step<RequestState, RequestEffect>({ ...state, phase: "done", attempt: undefined }, ...finishClaim, { kind: "close" });
}

/** Applies one event. A late event of an earlier attempt is counted and otherwise ignored. */
export function reduceRequest(state: RequestState, event: RequestEvent): Result {
    if (state.phase === "done") {
        return unchanged(state);
    }
    if ("attemptId" in event && event.kind !== "upstream-chosen" && state.attempt?.attemptId !== event.attemptId) {
        return step<RequestState, RequestEffect>(state, { kind: "count", name: "late-event-dropped" });
    }
    switch (event.kind) {
        case "admitted":
            return admitted(state, event.nowMs);
        case "claim-answered":
            return state.phase === "claiming" ? claimAnswered(state, event.answer) : unchanged(state);
        case "upstream-chosen":
            return upstreamChosen(state, event.nowMs, event.attemptId, event.upstream);
        case "upstream-lacking":
            return state.phase === "choosing" ? refuseWithoutUpstream(state, event.code, event.retryAfterMs) : unchanged(state);
        case "attempt-event":
            return receive(state, state.attempt!, event);
        case "link-lost":
            return linkLost(state, state.attempt!, event.connection);
        case "resume-refused":
            return resumeRefused(state, state.attempt!, event.connection);
        case "tombstone-answered":
            return tombstoneAnswered(state, state.attempt!, event.state);
        case "silence-due":
            return silenceDue(state, state.attempt!, event.nowMs);
        case "link-retry-due":
            return linkRetryDue(state, state.attempt!);
        case "deadline-due":
            return deadlineDue(state);
        case "detached-due":
            return detachedDue(state);
        case "caller-gone":
            return callerGone(state);
    }
}

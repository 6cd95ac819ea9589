/**
 * Handling of silent or broken connections to a sidecar, and of failed attempts. A stream that has delivered events is resumed on a new
 * connection. For a dispatch without any event, the entry requests a tombstone: `not-run` is true only if the sidecar has never seen the
 * attempt and bars it from now on.
 *
 * @module
 */

import { step, unchanged } from "../runtime/index.js";
import { emptyChunks } from "./chunks.js";
import { continuationOf } from "./continuation.js";
import { type RefusalCode, refusalCodes } from "./refusals.js";
import { complete, refuse } from "./requestFinish.js";
import type { AttemptState, RequestEffect, RequestState, RequestStep, TombstoneState } from "./requestTypes.js";

/** Resumes the attempt on a new connection, from the next expected event. */
export function resume(state: RequestState, attempt: AttemptState): RequestStep {
    const connection = attempt.connection + 1;
    const { attemptId, upstream, nextSequence, reconnects } = attempt;
    return step<RequestState, RequestEffect>(
        { ...state, attempt: { ...attempt, connection, link: "resuming", reconnects: reconnects + 1 } },
        { kind: "resume", attemptId, upstream, connection, fromSequence: nextSequence },
        { kind: "count", name: "resumed" },
    );
}

function requestTombstone(state: RequestState, attempt: AttemptState): RequestStep {
    const { attemptId, upstream, reconnects } = attempt;
    return step<RequestState, RequestEffect>(
        { ...state, attempt: { ...attempt, link: "asking", reconnects: reconnects + 1 } },
        { kind: "tombstone", attemptId, upstream },
    );
}

function reconnect(state: RequestState, attempt: AttemptState): RequestStep {
    return attempt.dispatchConfirmed ? resume(state, attempt) : requestTombstone(state, attempt);
}

/** Schedules a reconnect with exponential backoff, or fails the attempt if the sidecar is unreachable. */
function retryLink(state: RequestState, attempt: AttemptState): RequestStep {
    const { maxReconnects, reconnectBackoffMs, retryAfterMs } = state.params.limits;
    if (attempt.reconnects >= maxReconnects) {
        return attemptFailed(state, "unknown", "upstream-unreachable", retryAfterMs);
    }
    const delayMs = reconnectBackoffMs * 2 ** Math.max(0, attempt.reconnects - 1);
    return step<RequestState, RequestEffect>(
        { ...state, attempt: { ...attempt, link: "waiting" } },
        { kind: "arm", timer: "link-retry", delayMs, attemptId: attempt.attemptId },
    );
}

/** Handles a connection that broke or closed before the end event. Only the newest one matters. */
export function linkLost(state: RequestState, attempt: AttemptState, connection: number): RequestStep {
    if (connection !== attempt.connection || attempt.link === "asking" || attempt.link === "waiting") {
        return unchanged(state);
    }
    return attempt.link === "open" ? reconnect(state, attempt) : retryLink(state, attempt);
}

export function linkRetryDue(state: RequestState, attempt: AttemptState): RequestStep {
    return attempt.link === "waiting" ? reconnect(state, attempt) : unchanged(state);
}

/**
 * Handles the silence timer. A middlebox may drop the state of a connection, so that both ends wait forever while new connections work.
 * Heartbeats make such a silence detectable. The timer is re-armed from the time of the last event, and opens a new connection once the
 * silence has lasted for the timeout.
 */
export function silenceDue(state: RequestState, attempt: AttemptState, nowMs: number): RequestStep {
    const { silenceTimeoutMs } = state.params.limits;
    const { attemptId } = attempt;
    const silentMs = nowMs - attempt.lastReceivedMs;
    if (silentMs < silenceTimeoutMs) {
        return step<RequestState, RequestEffect>(state, { kind: "arm", timer: "silence", delayMs: silenceTimeoutMs - silentMs, attemptId });
    }
    const rearm: RequestEffect = { kind: "arm", timer: "silence", delayMs: silenceTimeoutMs, attemptId };
    const next = attempt.link === "open" ? reconnect(state, attempt) : retrySilentLink(state, attempt);
    return next.state.attempt === undefined ? next : step(next.state, ...next.effects, rearm);
}

/** Handles silence on a connection that is itself a reconnect. */
function retrySilentLink(state: RequestState, attempt: AttemptState): RequestStep {
    return attempt.link === "waiting" ? unchanged(state) : retryLink(state, attempt);
}

/** Handles a refused resume: the sidecar does not know the attempt, since it was restarted or never received the dispatch. */
export function resumeRefused(state: RequestState, attempt: AttemptState, connection: number): RequestStep {
    if (connection !== attempt.connection || attempt.link !== "resuming") {
        return unchanged(state);
    }
    return attemptFailed(state, "unknown", "other-boot", state.params.limits.retryAfterMs);
}

export function tombstoneAnswered(state: RequestState, attempt: AttemptState, answer: TombstoneState): RequestStep {
    if (attempt.link !== "asking") {
        return unchanged(state);
    }
    const { retryAfterMs } = state.params.limits;
    switch (answer) {
        case "barred":
        case "refused":
            return attemptFailed(state, "not-run", "upstream-unreachable", retryAfterMs);
        case "running":
        case "ended":
            return resume(state, { ...attempt, dispatchConfirmed: true });
        case "unknown":
            return attemptFailed(state, "unknown", "other-boot", retryAfterMs);
        case "unreachable":
            return retryLink(state, attempt);
    }
}

/** Refusals by an upstream that is temporarily at its limit. */
const backpressureCodes: ReadonlySet<RefusalCode> = new Set(["upstream-busy", "cold-start"]);

/**
 * Ends the current attempt without a complete answer. `execution` is `not-run` if the attempt is known not to have reached an upstream.
 * The request is retried on another upstream if that is safe, and otherwise refused at once.
 */
export function attemptFailed(state: RequestState, execution: "not-run" | "unknown", code: RefusalCode, retryAfterMs: number): RequestStep {
    const failed = state.attempt!;
    // Backpressure does not count as a failed attempt: a cold upstream refuses several times in a row, and callers that could be served
    // within their deadline would be refused. Admission spaces these retries, and the deadline bounds them.
    const isBackpressure = execution === "not-run" && backpressureCodes.has(code);
    const updated: RequestState = {
        ...state,
        attempt: undefined,
        attempts: state.attempts - (isBackpressure ? 1 : 0),
        mayHaveRun: state.mayHaveRun || execution === "unknown",
        suspect: state.suspect || code === "engine-crashed",
        excluded: isBackpressure ? state.excluded : [...state.excluded, failed.upstream.upstreamId],
    };
    const cancellation: readonly RequestEffect[] = code === "upstream-unreachable" && execution === "unknown" && state.params.idempotent
        ? [{ kind: "cancel", attemptId: failed.attemptId, upstream: failed.upstream }]
        : [];
    const { state: next, effects } = continueAfterFailure(updated, code, retryAfterMs);
    return step(next, ...cancellation, ...effects);
}

function continueAfterFailure(state: RequestState, code: RefusalCode, retryAfterMs: number): RequestStep {
    const execution = state.mayHaveRun ? "unknown" : "not-run";
    if (!state.params.idempotent && state.mayHaveRun) {
        return refuse(state, "outcome-unknown", "unknown", 0, "settle");
    }
    const isFinal = refusalCodes[code].final || state.attempts >= state.params.limits.maxAttempts || !state.callerPresent;
    if (isFinal) {
        return refuse(state, code, execution, retryAfterMs, "settle");
    }
    return state.delivery === "open" ? continueElsewhere(state, code, retryAfterMs) : restartAnswer(state);
}

function restartAnswer(state: RequestState): RequestStep {
    return step<RequestState, RequestEffect>(
        { ...state, phase: "choosing", head: undefined, chunks: emptyChunks },
        { kind: "choose", excluded: state.excluded, retry: true, suspect: state.suspect },
        { kind: "count", name: "retried" },
    );
}

/** Continues an answer that was partly sent on another engine, or ends the stream with a typed error. */
function continueElsewhere(state: RequestState, code: RefusalCode, retryAfterMs: number): RequestStep {
    const continuation = state.params.continuable ? continuationOf(state.chunks) : undefined;
    if (continuation === undefined) {
        return refuse(state, code, "unknown", retryAfterMs, "settle");
    }
    if (continuation.finished) {
        return complete(state);
    }
    return step<RequestState, RequestEffect>(
        { ...state, phase: "choosing" },
        { kind: "choose", excluded: state.excluded, retry: true, suspect: state.suspect },
        { kind: "count", name: "continued" },
    );
}

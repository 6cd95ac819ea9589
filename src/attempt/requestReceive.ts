/**
 * Receives the events of an attempt at the entry. Events in sequence are delivered or buffered. Duplicates are dropped, and a gap makes
 * the entry resume the stream.
 *
 * @module
 */

import { step, unchanged } from "../runtime/index.js";
import { appendChunk, chunksOf, countChunk } from "./chunks.js";
import { complete } from "./requestFinish.js";
import { attemptFailed, resume } from "./requestLink.js";
import type { AnswerHead, AttemptEvent, AttemptState, RequestEffect, RequestEvent, RequestState, RequestStep } from "./requestTypes.js";

type Received = Extract<RequestEvent, { kind: "attempt-event" }>;

function markReceived(attempt: AttemptState, nowMs: number): AttemptState {
    return {
        ...attempt, dispatchConfirmed: true, lastReceivedMs: nowMs, reconnects: 0,
        link: attempt.link === "resuming" ? "open" : attempt.link,
    };
}

/** Handles a heartbeat. One from an older connection does not show that the newest one works. */
function heartbeat(state: RequestState, attempt: AttemptState, { nowMs, connection }: Received): RequestStep {
    return connection === attempt.connection ? step({ ...state, attempt: markReceived(attempt, nowMs) }) : unchanged(state);
}

/** Applies one event of the current attempt. */
export function receive(state: RequestState, attempt: AttemptState, received: Received): RequestStep {
    if (received.event.kind === "heartbeat") {
        return heartbeat(state, attempt, received);
    }
    if (received.sequence < attempt.nextSequence) {
        return step<RequestState, RequestEffect>(state, { kind: "count", name: "duplicate-event-dropped" });
    }
    if (received.sequence > attempt.nextSequence) {
        return resumeAfterGap(state, attempt);
    }
    const updated = { ...markReceived(attempt, received.nowMs), nextSequence: attempt.nextSequence + 1 };
    return applyEvent({ ...state, attempt: updated }, updated, received.event);
}

/** Handles an event lost between two connections. The sidecar still has it in its log, so the stream is resumed from there. */
function resumeAfterGap(state: RequestState, attempt: AttemptState): RequestStep {
    const countGap: RequestEffect = { kind: "count", name: "gap-seen" };
    if (attempt.link === "resuming") {
        return step<RequestState, RequestEffect>(state, countGap);
    }
    const { state: next, effects } = resume(state, attempt);
    return step<RequestState, RequestEffect>(next, countGap, ...effects);
}

function applyEvent(state: RequestState, attempt: AttemptState, event: Exclude<AttemptEvent, { kind: "heartbeat" }>): RequestStep {
    switch (event.kind) {
        case "started":
            return started(state, event.head);
        case "chunk":
            return chunk(state, attempt, event.data);
        case "end":
            return ended(state, attempt, event.chunks, event.bytes);
        case "failure":
            return attemptFailed(state, event.execution === "not-run" ? "not-run" : "unknown", event.code, event.retryAfterMs);
    }
}

function started(state: RequestState, head: AnswerHead): RequestStep {
    if (state.delivery === "open") {
        return step(state);
    }
    const next = { ...state, head };
    const isError = head.status >= 400;
    return state.params.eventStream && !isError ? openDelivery(next) : step(next);
}

/** Sends the head and the buffered chunks. From here on the answer cannot be restarted. */
function openDelivery(state: RequestState): RequestStep {
    if (!state.callerPresent) {
        return step(state);
    }
    return step<RequestState, RequestEffect>(
        { ...state, delivery: "open" },
        { kind: "deliver-head", head: state.head ?? { status: 200, headers: [] } },
        ...chunksOf(state.chunks).map((data): RequestEffect => ({ kind: "deliver-chunk", data })),
    );
}

function chunk(state: RequestState, attempt: AttemptState, data: Uint8Array): RequestStep {
    const counted = { ...attempt, chunks: attempt.chunks + 1, bytes: attempt.bytes + data.length };
    const keepsData = state.delivery === "held" || state.params.continuable;
    const chunks = keepsData ? appendChunk(state.chunks, data) : countChunk(state.chunks, data);
    const acknowledged = acknowledge({ ...state, chunks }, counted);
    if (state.delivery === "open") {
        const delivered: RequestEffect = { kind: "deliver-chunk", data };
        return step<RequestState, RequestEffect>(acknowledged.state, ...(state.callerPresent ? [delivered] : []), ...acknowledged.effects);
    }
    if (acknowledged.state.chunks.bytes <= state.params.limits.maxBufferedBytes) {
        return acknowledged;
    }
    const opened = openDelivery(acknowledged.state);
    return step(opened.state, ...opened.effects, ...acknowledged.effects);
}

function acknowledge(state: RequestState, attempt: AttemptState): RequestStep {
    const throughSequence = attempt.nextSequence - 1;
    if (throughSequence - attempt.acknowledged < state.params.limits.acknowledgeInterval) {
        return step({ ...state, attempt });
    }
    return step<RequestState, RequestEffect>(
        { ...state, attempt: { ...attempt, acknowledged: throughSequence } },
        { kind: "acknowledge", attemptId: attempt.attemptId, upstream: attempt.upstream, throughSequence },
    );
}

/**
 * Handles the end event. The sequence is contiguous at this point, so the counts differ only if the sidecar itself has lost a chunk. The
 * answer would be truncated but look complete, so a mismatch fails the attempt.
 */
function ended(state: RequestState, attempt: AttemptState, chunks: number, bytes: number): RequestStep {
    if (chunks !== attempt.chunks || bytes !== attempt.bytes) {
        return attemptFailed(state, "unknown", "incomplete-answer", state.params.limits.retryAfterMs);
    }
    return complete(state);
}

/**
 * The ways in which a request at an entry ends: complete, replayed from a stored outcome, or refused.
 *
 * @module
 */

import { step } from "../runtime/index.js";
import { chunksOf, emptyChunks } from "./chunks.js";
import { type Execution, problemOf, type RefusalCode } from "./refusals.js";
import type { AnswerHead, RequestEffect, RequestState, RequestStep } from "./requestTypes.js";

const close: RequestEffect = { kind: "close" };

function closed(state: RequestState): RequestState {
    return { ...state, phase: "done", attempt: undefined, chunks: emptyChunks };
}

/** Cancels the current attempt, if any. The sidecar ignores the cancellation of non-idempotent work. */
function cancelEffects(state: RequestState): readonly RequestEffect[] {
    const { attempt } = state;
    return attempt === undefined ? [] : [{ kind: "cancel", attemptId: attempt.attemptId, upstream: attempt.upstream }];
}

/**
 * Ends the request with a refusal, as the whole answer or as the typed last event of a stream that has begun. `claim` says whether to
 * settle the claim of the request. A resend that found the claim of another request must not settle it.
 */
export function refuse(
    state: RequestState, code: RefusalCode, execution: Execution, retryAfterMs: number, claim: "settle" | "keep",
): RequestStep {
    const effects: RequestEffect[] = [...cancelEffects(state)];
    if (state.callerPresent) {
        effects.push({ kind: "deliver-problem", problem: problemOf(code, execution, retryAfterMs), inStream: state.delivery === "open" });
        effects.push({ kind: "count", name: "refused" });
    }
    if (state.params.claimed && claim === "settle") {
        effects.push({ kind: "finish-claim", outcome: execution === "not-run" ? "not-run" : "unknown" });
    }
    return step(closed(state), ...effects, close);
}

/** Ends the request with the complete answer, after its end event has been checked. */
export function complete(state: RequestState): RequestStep {
    const head = state.head ?? { status: 200, headers: [] };
    const effects: RequestEffect[] = [];
    if (state.callerPresent && state.delivery === "held") {
        effects.push({ kind: "deliver-head", head });
        effects.push(...chunksOf(state.chunks).map((data): RequestEffect => ({ kind: "deliver-chunk", data })));
    }
    if (state.callerPresent) {
        effects.push({ kind: "deliver-end" }, { kind: "count", name: "delivered" });
    }
    if (state.params.claimed) {
        effects.push({ kind: "finish-claim", outcome: "delivered", head, chunks: state.chunks });
    }
    if (state.suspect) {
        effects.push({ kind: "clear-suspect" });
    }
    return step(closed(state), ...effects, close);
}

/** Answers a resend with the stored outcome of the first request. */
export function replay(state: RequestState, head: AnswerHead, body: Uint8Array | undefined): RequestStep {
    if (body === undefined) {
        return refuse(state, "outcome-not-kept", "ran", 0, "keep");
    }
    return step<RequestState, RequestEffect>(
        closed(state),
        { kind: "deliver-head", head },
        { kind: "deliver-chunk", data: body },
        { kind: "deliver-end" },
        { kind: "count", name: "delivered" },
        close,
    );
}

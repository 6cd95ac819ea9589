/**
 * The registry of the attempts known to one boot of a sidecar.
 *
 * Invariants:
 * - An attempt id is run at most once.
 * - A refused or barred attempt is never run later.
 * - A tombstone request is answered with `barred` only by the boot that the dispatch was sent to, and only for an id it has never seen.
 *
 * The caller of the reducer runs the work and logs its events.
 *
 * @module
 */

import { emptyMap, mapGet, mapSet, type Step, step, unchanged } from "../runtime/index.js";
import { admissionRefusal, type AdmissionContext, type DispatchParams } from "./registryAdmission.js";
import type { Execution, RefusalCode } from "./refusals.js";
import type { PastAttemptState, RegistryState } from "./registryState.js";
import type { TombstoneState } from "./requestTypes.js";

export type { AdmissionContext, DispatchParams } from "./registryAdmission.js";

/** The start limiter's decision about one attempt. */
export type StartAnswer =
    | { readonly admitted: true }
    | { readonly admitted: false; readonly cold: boolean; readonly retryAfterMs: number };

export type RegistryEvent = { readonly nowMs: number } & (
    | { readonly kind: "run"; readonly dispatch: DispatchParams; readonly admission: AdmissionContext }
    | { readonly kind: "start-answered"; readonly attemptId: string; readonly answer: StartAnswer }
    | { readonly kind: "tombstone"; readonly attemptId: string; readonly bootId: string }
    | { readonly kind: "cancel"; readonly attemptId: string }
    | { readonly kind: "ended"; readonly attemptId: string }
    | { readonly kind: "engine-lost"; readonly engineBootId: string }
    | { readonly kind: "sweep" });

export type RegistryEffect =
    | { readonly kind: "ask-limiter"; readonly attemptId: string }
    | { readonly kind: "start"; readonly attemptId: string }
    /** The attempt was dispatched before: its events are streamed from the first one on, and it is not run again. */
    | { readonly kind: "attach"; readonly attemptId: string }
    | {
        readonly kind: "refuse";
        readonly attemptId: string;
        readonly code: RefusalCode;
        readonly execution: Execution;
        readonly retryAfterMs: number;
    }
    | { readonly kind: "answer-tombstone"; readonly attemptId: string; readonly state: TombstoneState }
    | { readonly kind: "abort"; readonly attemptId: string }
    | {
        readonly kind: "fail";
        readonly attemptId: string;
        readonly code: RefusalCode;
        readonly execution: Execution;
        /** The engine boot that ended, for the entry's own crash report. */
        readonly engineBootId: string;
    }
    | {
        readonly kind: "report-crash";
        readonly engineBootId: string;
        readonly fingerprints: readonly string[];
        /** The shared parts of the prompts in flight, each once. */
        readonly parts: readonly string[];
        /** Whether the only attempt in flight was the trial of a crash suspect. */
        readonly isTrial: boolean;
    };

/** The retry delay given with a refusal that states none. */
const defaultRetryAfterMs = 500;

type Result = Step<RegistryState, RegistryEffect>;

/**
 * The minimum time for which an id is kept after its attempt ended or was barred. A dispatch in a stalled connection can arrive as long as
 * TCP retransmits it, about 15 minutes. If a barred id were dropped sooner, the attempt could run after its caller was told `not-run`.
 */
export const attemptRetentionMs = 3_600_000;

/** The maximum number of ids in a generation. At 5 attempts a second, a replica sees 18,000 in `attemptRetentionMs`. */
export const maxGenerationSize = 200_000;

/** Returns an empty registry, the initial state of each boot. */
export function newRegistry(bootId: string, nowMs: number): RegistryState {
    return { bootId, live: new Map(), currentGeneration: emptyMap(), previousGeneration: emptyMap(), generationStartedMs: nowMs };
}

function pastStateOf(state: RegistryState, attemptId: string): PastAttemptState | undefined {
    return mapGet(state.currentGeneration, attemptId) ?? mapGet(state.previousGeneration, attemptId);
}

/** Removes an attempt from the live ones and records its final state. */
function retire(state: RegistryState, attemptId: string, past: PastAttemptState): RegistryState {
    const live = new Map(state.live);
    live.delete(attemptId);
    return { ...state, live, currentGeneration: mapSet(state.currentGeneration, attemptId, past) };
}

/** Applies one event. */
export function reduceRegistry(state: RegistryState, event: RegistryEvent): Result {
    switch (event.kind) {
        case "run":
            return run(state, event.dispatch, event.admission);
        case "start-answered":
            return startAnswered(state, event.attemptId, event.answer);
        case "tombstone":
            return tombstone(state, event.attemptId, event.bootId, event.nowMs);
        case "cancel":
            return cancel(state, event.attemptId);
        case "ended":
            return ended(state, event.attemptId);
        case "engine-lost":
            return engineLost(state, event.engineBootId);
        case "sweep":
            return sweep(state, event.nowMs);
    }
}

function refuse(state: RegistryState, attemptId: string, code: RefusalCode, retryAfterMs: number): Result {
    return step<RegistryState, RegistryEffect>(
        retire(state, attemptId, "refused"),
        { kind: "refuse", attemptId, code, execution: "not-run", retryAfterMs },
    );
}

function run(state: RegistryState, dispatch: DispatchParams, admission: AdmissionContext): Result {
    const { attemptId, idempotent, fingerprint, sharedParts, suspect } = dispatch;
    const past = pastStateOf(state, attemptId);
    if (state.live.has(attemptId) || past === "ended") {
        return step<RegistryState, RegistryEffect>(state, { kind: "attach", attemptId });
    }
    if (past !== undefined) {
        return step<RegistryState, RegistryEffect>(
            state, { kind: "refuse", attemptId, code: "attempt-barred", execution: "not-run", retryAfterMs: 0 });
    }
    const code = admissionRefusal(state, dispatch, admission);
    if (code !== undefined) {
        return refuse(state, attemptId, code, defaultRetryAfterMs);
    }
    if (admission.pushbackLeftMs > 0) {
        return refuse(state, attemptId, "upstream-busy", admission.pushbackLeftMs);
    }
    const live = new Map(state.live).set(attemptId, { state: "asking", idempotent, fingerprint, sharedParts, suspect });
    return step<RegistryState, RegistryEffect>({ ...state, live }, { kind: "ask-limiter", attemptId });
}

function startAnswered(state: RegistryState, attemptId: string, answer: StartAnswer): Result {
    const attempt = state.live.get(attemptId);
    if (attempt?.state !== "asking") {
        return unchanged(state);
    }
    if (!answer.admitted) {
        return refuse(state, attemptId, answer.cold ? "cold-start" : "upstream-busy", answer.retryAfterMs);
    }
    const live = new Map(state.live).set(attemptId, { ...attempt, state: "running" });
    return step<RegistryState, RegistryEffect>({ ...state, live }, { kind: "start", attemptId });
}

/**
 * Answers a tombstone request. The attempts of another boot are not known here, so the answer is `unknown`: `barred` could lead to a false
 * `not-run` for work that ran before the restart. The same holds within the retention time after ids were dropped early.
 */
function tombstone(state: RegistryState, attemptId: string, bootId: string, nowMs: number): Result {
    const answer = (next: RegistryState, answered: TombstoneState): Result =>
        step<RegistryState, RegistryEffect>(next, { kind: "answer-tombstone", attemptId, state: answered });
    if (bootId !== state.bootId) {
        return answer(state, "unknown");
    }
    if (state.live.has(attemptId)) {
        return answer(state, "running");
    }
    const past = pastStateOf(state, attemptId);
    if (past !== undefined) {
        return answer(state, past);
    }
    const hasEvictedEarly = state.evictedEarlyAtMs !== undefined && nowMs - state.evictedEarlyAtMs < attemptRetentionMs;
    return answer(retire(state, attemptId, "barred"), hasEvictedEarly ? "unknown" : "barred");
}

/** Aborts an idempotent attempt. Non-idempotent work keeps running, since aborting it would leave its outcome unknown. */
function cancel(state: RegistryState, attemptId: string): Result {
    return state.live.get(attemptId)?.idempotent === true
        ? step<RegistryState, RegistryEffect>(state, { kind: "abort", attemptId })
        : unchanged(state);
}

function ended(state: RegistryState, attemptId: string): Result {
    return state.live.has(attemptId) ? step(retire(state, attemptId, "ended")) : unchanged(state);
}

/** Fails all live attempts after the engine was lost, and reports their fingerprints, since any of them may have caused the crash. */
function engineLost(state: RegistryState, engineBootId: string): Result {
    if (state.live.size === 0) {
        return unchanged(state);
    }
    const attemptIds = [...state.live.keys()];
    const fingerprints = [...new Set([...state.live.values()].map(attempt => attempt.fingerprint))].filter(name => name !== "");
    const parts = [...new Set([...state.live.values()].flatMap(attempt => attempt.sharedParts))];
    const isTrial = [...state.live.values()].every(attempt => attempt.suspect);
    return step<RegistryState, RegistryEffect>(
        attemptIds.reduce((next, attemptId) => retire(next, attemptId, "ended"), state),
        { kind: "report-crash", engineBootId, fingerprints, parts, isTrial },
        ...attemptIds.map((attemptId): RegistryEffect =>
            ({ kind: "fail", attemptId, code: "engine-crashed", execution: "unknown", engineBootId })),
    );
}

function sweep(state: RegistryState, nowMs: number): Result {
    const isDue = nowMs - state.generationStartedMs >= attemptRetentionMs;
    if (!isDue && state.currentGeneration.size < maxGenerationSize) {
        return unchanged(state);
    }
    return step({
        ...state, previousGeneration: state.currentGeneration, currentGeneration: emptyMap(), generationStartedMs: nowMs,
        evictedEarlyAtMs: isDue ? state.evictedEarlyAtMs : nowMs,
    });
}

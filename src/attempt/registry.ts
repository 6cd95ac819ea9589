/**
 * The attempts that one boot of a sidecar knows. Invariants: an attempt id is run at most once; a refused or barred attempt is never
 * run later; "barred" is answered only by the boot that the dispatch named and only for an id it has never seen. Running the work
 * and keeping its events is left to the shell.
 *
 * @module
 */

import { emptyMap, mapGet, mapSet, type Step, step, unchanged } from "../runtime/index.js";
import { admissionRefusal, type AdmissionFacts, type DispatchFacts } from "./registryAdmission.js";
import type { Execution, RefusalCode } from "./refusals.js";
import type { PastAttempt, RegistryState } from "./registryState.js";
import type { TombstoneState } from "./requestTypes.js";

export type { AdmissionFacts, DispatchFacts } from "./registryAdmission.js";

/** The start limiter's word on one attempt. */
export type StartAnswer =
    | { readonly admitted: true }
    | { readonly admitted: false; readonly cold: boolean; readonly retryAfterMs: number };

export type RegistryEvent = { readonly nowMs: number } & (
    | { readonly kind: "run"; readonly dispatch: DispatchFacts; readonly admission: AdmissionFacts }
    | { readonly kind: "start-answered"; readonly attemptId: string; readonly answer: StartAnswer }
    | { readonly kind: "tombstone"; readonly attemptId: string; readonly bootId: string }
    | { readonly kind: "cancel"; readonly attemptId: string }
    | { readonly kind: "ended"; readonly attemptId: string }
    | { readonly kind: "engine-lost"; readonly engineBootId: string }
    | { readonly kind: "sweep" });

export type RegistryEffect =
    | { readonly kind: "ask-limiter"; readonly attemptId: string }
    | { readonly kind: "start"; readonly attemptId: string }
    /** The same attempt came twice: its events are streamed from the first, and it is not run again. */
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
        /** The boot that ended, for the entry's own report of the crash. */
        readonly engineBootId: string;
    }
    | { readonly kind: "report-crash"; readonly engineBootId: string; readonly fingerprints: readonly string[] };

/** The wait named with a refusal that has no time of its own. */
const refusedRetryAfterMs = 500;

type Result = Step<RegistryState, RegistryEffect>;

/**
 * How long an id is remembered after its attempt ended or was barred. A dispatch held in a stalled connection can arrive as long as
 * TCP goes on resending it, some 15 minutes; forgetting a barred id sooner would let it run after its caller was told not-run.
 */
export const rememberMs = 3_600_000;

/** Ids kept at most in a generation: at 5 attempts a second a replica sees 18,000 in `rememberMs`. */
export const maxPastAttempts = 200_000;

/** A registry that knows nothing: the first state of each boot. */
export function newRegistry(bootId: string, nowMs: number): RegistryState {
    return { bootId, live: new Map(), newer: emptyMap(), older: emptyMap(), newerSinceMs: nowMs };
}

function pastOf(state: RegistryState, attemptId: string): PastAttempt | undefined {
    return mapGet(state.newer, attemptId) ?? mapGet(state.older, attemptId);
}

/** Moves an id to the past. */
function toPast(state: RegistryState, attemptId: string, past: PastAttempt): RegistryState {
    const live = new Map(state.live);
    live.delete(attemptId);
    return { ...state, live, newer: mapSet(state.newer, attemptId, past) };
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
        toPast(state, attemptId, "refused"),
        { kind: "refuse", attemptId, code, execution: "not-run", retryAfterMs },
    );
}

function run(state: RegistryState, dispatch: DispatchFacts, admission: AdmissionFacts): Result {
    const { attemptId, idempotent, fingerprint, suspect } = dispatch;
    const past = pastOf(state, attemptId);
    if (state.live.has(attemptId) || past === "ended") {
        return step<RegistryState, RegistryEffect>(state, { kind: "attach", attemptId });
    }
    if (past !== undefined) {
        return step<RegistryState, RegistryEffect>(
            state, { kind: "refuse", attemptId, code: "attempt-barred", execution: "not-run", retryAfterMs: 0 });
    }
    const code = admissionRefusal(state, dispatch, admission);
    if (code !== undefined) {
        return refuse(state, attemptId, code, refusedRetryAfterMs);
    }
    const live = new Map(state.live).set(attemptId, { state: "asking", idempotent, fingerprint, suspect });
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
 * Another boot's attempts are not remembered here: answering "never seen" for them would make a not-run false for work that ran
 * before the restart. The same holds while ids were forgotten early.
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
    const past = pastOf(state, attemptId);
    if (past !== undefined) {
        return answer(state, past);
    }
    const forgetful = state.forgotAtMs !== undefined && nowMs - state.forgotAtMs < rememberMs;
    return answer(toPast(state, attemptId, "barred"), forgetful ? "unknown" : "barred");
}

/** Non-idempotent work runs on whatever its caller does: cutting it off would leave its outcome in doubt. */
function cancel(state: RegistryState, attemptId: string): Result {
    return state.live.get(attemptId)?.idempotent === true
        ? step<RegistryState, RegistryEffect>(state, { kind: "abort", attemptId })
        : unchanged(state);
}

function ended(state: RegistryState, attemptId: string): Result {
    return state.live.has(attemptId) ? step(toPast(state, attemptId, "ended")) : unchanged(state);
}

/** The engine died under its sidecar: every attempt it had is over, and any of them may be what killed it. */
function engineLost(state: RegistryState, engineBootId: string): Result {
    if (state.live.size === 0) {
        return unchanged(state);
    }
    const attemptIds = [...state.live.keys()];
    const fingerprints = [...new Set([...state.live.values()].map(attempt => attempt.fingerprint))].filter(name => name !== "");
    return step<RegistryState, RegistryEffect>(
        attemptIds.reduce((next, attemptId) => toPast(next, attemptId, "ended"), state),
        { kind: "report-crash", engineBootId, fingerprints },
        ...attemptIds.map((attemptId): RegistryEffect =>
            ({ kind: "fail", attemptId, code: "engine-crashed", execution: "unknown", engineBootId })),
    );
}

function sweep(state: RegistryState, nowMs: number): Result {
    const due = nowMs - state.newerSinceMs >= rememberMs;
    if (!due && state.newer.size < maxPastAttempts) {
        return unchanged(state);
    }
    return step({ ...state, older: state.newer, newer: emptyMap(), newerSinceMs: nowMs, forgotAtMs: due ? state.forgotAtMs : nowMs });
}

/**
 * The engine part of the member arbiter: whether the engine can serve the current epoch, when to send it an order, and how its restart
 * ends the lease.
 *
 * @module
 */

import { step } from "../runtime/index.js";
import type { EngineStatus, MemberEffect, MemberEvent, MemberState, MemberStep } from "./memberState.js";

/** The delay after which an unanswered engine order is sent again. */
export const engineOrderRetryMs = 1_000;

function targetEngineEpoch(state: MemberState): number {
    return state.current?.epoch ?? state.highestEpoch;
}

/** Returns the reason why the engine can't serve the current epoch, or undefined if it can. */
export function findEngineProblem(state: MemberState): string | undefined {
    const { engine, acceptedOrder, current } = state;
    if (!engine.up) {
        return "engine-down";
    }
    if (acceptedOrder?.epoch !== current?.epoch || acceptedOrder?.bootId !== engine.bootId) {
        return "engine-not-ordered";
    }
    return state.model !== undefined && !engine.models.includes(state.model) ? "model-not-loaded" : undefined;
}

/** Returns when the next engine order is due, or undefined if none is needed. */
export function nextEngineOrderAtMs(state: MemberState): number | undefined {
    const { acceptedOrder, engine, model, mayLoad } = state;
    const isPreload = state.current === undefined;
    if (!engine.up || state.ending || (isPreload && (model === undefined || !mayLoad))) {
        return undefined;
    }
    const isOrdered = acceptedOrder?.epoch === targetEngineEpoch(state) && acceptedOrder.bootId === engine.bootId &&
        acceptedOrder.model === model && acceptedOrder.mayLoad === mayLoad;
    const hasModel = model === undefined || engine.models.includes(model);
    return isOrdered || (isPreload && hasModel) ? undefined : state.engineOrderedAtMs + engineOrderRetryMs;
}

/** Sends the engine an order if one is due. */
export function orderEngine(state: MemberState, nowMs: number): MemberStep {
    const dueAtMs = nextEngineOrderAtMs(state);
    if (dueAtMs === undefined || nowMs < dueAtMs) {
        return step(state);
    }
    const { current, model, mayLoad } = state;
    const epoch = targetEngineEpoch(state);
    return step<MemberState, MemberEffect>(
        { ...state, engineOrderedAtMs: nowMs },
        { kind: "order-engine", epoch, membership: current, model, mayLoad },
    );
}

/** Records the engine's answer to an order. A late answer, for another boot or epoch, is ignored. */
export function handleEngineAnswer(state: MemberState, event: Extract<MemberEvent, { kind: "engine-answer" }>): MemberStep {
    if (event.epoch !== targetEngineEpoch(state) || event.bootId !== state.engine.bootId) {
        return step(state);
    }
    if (!event.accepted) {
        return step<MemberState, MemberEffect>({ ...state, acceptedOrder: undefined }, { kind: "count", metric: "membership.engine.refused" });
    }
    const { model, mayLoad } = state;
    return step({ ...state, acceptedOrder: { epoch: event.epoch, bootId: event.bootId, model, mayLoad } });
}

/** Records the engine's status. `createWithdrawal` creates the effects that tell the leader VM that the lease has ended. */
export function handleEngineStatus(
    state: MemberState,
    engine: EngineStatus,
    createWithdrawal: (state: MemberState, reason: string) => MemberEffect[],
): MemberStep {
    const wasReady = state.current !== undefined && findEngineProblem(state) === undefined;
    const isRestarted = engine.bootId !== state.engine.bootId;
    const next = { ...state, engine, ...(isRestarted ? { acceptedOrder: undefined, engineOrderedAtMs: -Infinity } : {}) };
    const effects: MemberEffect[] = isRestarted || engine.up !== state.engine.up ? [{ kind: "report" }] : [];
    if (wasReady && findEngineProblem(next) !== undefined) {
        // The engine has lost its part of every running response. The withdrawal lets the leader VM end them before the lease expires.
        effects.push(...createWithdrawal(next, isRestarted ? "engine-restarted" : "engine-down"));
        effects.push({ kind: "log-change", what: "lease-withdrawn", epoch: state.current!.epoch, detail: engine.bootId });
    }
    return { state: next, effects };
}

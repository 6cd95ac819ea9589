/**
 * The arbiter of one VM's membership, run by its sidecar. The VM is in at most one replica: it grants leases to the leader VM of a single
 * epoch, and joins another epoch only when no lease of the previous one can still be live. This doesn't depend on the control role, so
 * a wrong or late order costs time but never puts a VM in two replicas.
 *
 * `nowMs` of every event comes from a monotonic clock that never runs ahead (`performance.now()`), not from `createLeaseClock`: after
 * a forward jump of the wall clock, the member would consider a grant expired that the leader VM still relies on.
 *
 * @module
 */

import { step } from "../runtime/index.js";
import { findEngineProblem, handleEngineAnswer, handleEngineStatus, nextEngineOrderAtMs, orderEngine } from "./engine.js";
import type { MemberEffect, MemberEvent, MemberOrder, MemberState, MemberStep } from "./memberState.js";
import { clockMarginMs, type LeaseAsk, type LeaseGrant, memberLeaseMs, type Membership } from "./types.js";

/** Returns the time after which no lease of the current epoch can be live. */
function lastGrantExpiresAtMs(state: MemberState): number {
    return Math.max(-Infinity, ...Object.values(state.grantExpiresAtMs));
}

function isSameMembership(a: Membership, b: Membership): boolean {
    return a.replicaId === b.replicaId && a.leaderVmId === b.leaderVmId && a.model === b.model &&
        a.members.length === b.members.length && a.members.every((member, index) => member.vmId === b.members[index]!.vmId);
}

function endEpoch(state: MemberState, current: Membership): MemberStep {
    const releasedEpoch = Math.max(state.releasedEpoch, current.epoch);
    return step<MemberState, MemberEffect>(
        { ...state, current: undefined, ending: false, grantExpiresAtMs: {}, releasedEpoch },
        { kind: "log-change", what: "membership-released", epoch: current.epoch, detail: current.replicaId },
        { kind: "report" },
    );
}

function joinEpoch(state: MemberState, membership: Membership): MemberStep {
    const joined = { ...state, current: membership, next: undefined, model: membership.model, engineOrderedAtMs: -Infinity };
    const effects: MemberEffect[] = [
        { kind: "log-change", what: "membership-joined", epoch: membership.epoch, detail: membership.replicaId },
        { kind: "report" },
    ];
    if (membership.leaderVmId === state.vmId) {
        effects.push({ kind: "lead", membership });
    }
    return { state: joined, effects };
}

/**
 * Returns whether the current epoch has ended. Waiting for the last grant to expire keeps a VM out of two replicas, because the old
 * leader VM may stream until its lease, which runs from its ask, expires. The epoch of a stopping member also ends when its leader VM,
 * which may have crashed, stops asking.
 */
function isEpochOver(state: MemberState, nowMs: number): boolean {
    return (state.ending || state.stopping) && nowMs >= lastGrantExpiresAtMs(state);
}

/** Applies every transition that is due at `nowMs`: ends the old epoch, joins the next one, sends the engine order. */
function applyDueTransitions(from: MemberStep, nowMs: number): MemberStep {
    let { state } = from;
    const effects = [...from.effects];
    function apply(next: MemberStep) {
        state = next.state;
        effects.push(...next.effects);
    }

    if (state.current !== undefined && isEpochOver(state, nowMs)) {
        apply(endEpoch(state, state.current));
    }
    if (state.current === undefined && nowMs >= state.joinBlockedUntilMs && state.releasedEpoch < state.fencedEpoch) {
        apply(step({ ...state, releasedEpoch: state.fencedEpoch }, { kind: "report" }));
    }
    if (state.current === undefined && state.next !== undefined && !state.stopping && nowMs >= state.joinBlockedUntilMs) {
        apply(joinEpoch(state, state.next));
    }
    if (state.stopping && !state.stopped && state.current === undefined) {
        apply(step({ ...state, stopped: true }, { kind: "stopped" }));
    }
    apply(orderEngine(state, nowMs));
    apply(armTimer(state, nowMs));
    return { state, effects };
}

function armTimer(state: MemberState, nowMs: number): MemberStep {
    const isAwaitingExpiry = state.current !== undefined && (state.ending || state.stopping);
    const isJoinBlocked = nowMs < state.joinBlockedUntilMs && (state.next !== undefined || state.releasedEpoch < state.fencedEpoch);
    const deadlines = [
        isAwaitingExpiry ? lastGrantExpiresAtMs(state) : undefined,
        isJoinBlocked ? state.joinBlockedUntilMs : undefined,
        nextEngineOrderAtMs(state),
    ].filter(at => at !== undefined);
    const atMs = deadlines.length > 0 ? Math.min(...deadlines) : undefined;
    if (atMs === undefined || atMs === state.timerAtMs) {
        return step(state);
    }
    return step({ ...state, timerAtMs: atMs }, { kind: "arm-timer", atMs });
}

function createRefusal(state: MemberState, epoch: number, nonce: number): LeaseGrant {
    return {
        vmId: state.vmId,
        epoch,
        nonce,
        granted: false,
        leaseMs: 0,
        reason: "",
        engineBootId: state.engine.bootId,
        stepLatencyMs: state.engine.stepLatencyMs,
        leaving: state.stopping,
    };
}

function createWithdrawal(state: MemberState, reason: string): MemberEffect[] {
    const { current } = state;
    if (current === undefined) {
        return [];
    }
    return [{ kind: "send-grant", toVmId: current.leaderVmId, grant: { ...createRefusal(state, current.epoch, 0), reason } }];
}

/** Stops renewing the current epoch and notifies its leader VM immediately. */
function stopRenewing(state: MemberState, next: Membership | undefined): MemberStep {
    const { current } = state;
    if (current === undefined) {
        return step({ ...state, next });
    }
    const effects = createWithdrawal(state, "ordered-out");
    if (current.leaderVmId === state.vmId) {
        effects.push({ kind: "unlead", epoch: current.epoch });
    }
    return { state: { ...state, next, ending: true }, effects };
}

function refuseOrder(state: MemberState, epoch: number, reason: "stale" | "conflict" | "released"): MemberStep {
    return step<MemberState, MemberEffect>(
        state,
        { kind: "order-refused", epoch, reason },
        { kind: "count", metric: `membership.order.${reason}` },
    );
}

function handleLeaveOrder(state: MemberState, order: MemberOrder): MemberStep {
    const fenced = {
        ...state,
        highestEpoch: order.fence,
        fencedEpoch: order.fence,
        model: order.model,
        mayLoad: order.mayLoad,
    };
    return state.ending ? step({ ...fenced, next: undefined }) : stopRenewing(fenced, undefined);
}

function handleOrder(state: MemberState, order: MemberOrder): MemberStep {
    const { membership } = order;
    const orderEpoch = membership?.epoch ?? order.fence;
    // A delayed order of a previous control leader would move the VM back, and replicas would form and break in alternation.
    if (orderEpoch < state.highestEpoch) {
        return refuseOrder(state, orderEpoch, "stale");
    }
    if (membership === undefined) {
        return handleLeaveOrder(state, order);
    }
    const existing = [state.current, state.next].find(item => item?.epoch === orderEpoch);
    if (existing !== undefined && !isSameMembership(existing, membership)) {
        return refuseOrder(state, orderEpoch, "conflict");
    }
    if (orderEpoch <= state.fencedEpoch || orderEpoch <= state.releasedEpoch ||
        (existing === state.current && state.ending && existing !== undefined)) {
        return refuseOrder(state, orderEpoch, "released");
    }
    if (existing === undefined) {
        return stopRenewing({ ...state, highestEpoch: orderEpoch, mayLoad: order.mayLoad }, membership);
    }
    const isDrain = order.drain && state.current === existing && existing.leaderVmId === state.vmId;
    return { state: { ...state, mayLoad: order.mayLoad }, effects: isDrain ? [{ kind: "drain", epoch: orderEpoch }] : [] };
}

/**
 * Ends the epoch without waiting when its leader VM has ended it permanently. Only the grants to the releasing boot are dropped: a
 * restarted leader VM may hold a newer lease, and a late release by its previous process must not free a member that it relies on.
 */
function handleRelease(state: MemberState, ask: LeaseAsk): MemberStep {
    const { current } = state;
    if (current?.epoch !== ask.epoch || current.leaderVmId !== ask.leaderVmId) {
        return step(state);
    }
    const grants = Object.entries(state.grantExpiresAtMs);
    const remaining = grants.filter(([bootId]) => bootId !== ask.leaderBootId);
    return step({ ...state, grantExpiresAtMs: Object.fromEntries(remaining), ending: state.ending || remaining.length === 0 });
}

function handleAsk(state: MemberState, ask: LeaseAsk, nowMs: number): MemberStep {
    if (ask.release) {
        return handleRelease(state, ask);
    }
    const { current } = state;
    const isCurrentMember = current?.epoch === ask.epoch && current.leaderVmId === ask.leaderVmId && !state.ending;
    const problem = isCurrentMember ? findEngineProblem(state) : "not-a-member";
    const refusal = createRefusal(state, ask.epoch, ask.nonce);
    if (problem !== undefined) {
        return step<MemberState, MemberEffect>(
            state,
            { kind: "send-grant", toVmId: ask.leaderVmId, grant: { ...refusal, reason: problem } },
            { kind: "count", metric: `membership.refused.${problem}` },
        );
    }
    const unexpired = Object.entries(state.grantExpiresAtMs).filter(([, atMs]) => atMs > nowMs);
    const grantExpiresAtMs = { ...Object.fromEntries(unexpired), [ask.leaderBootId]: nowMs + memberLeaseMs + clockMarginMs };
    return step<MemberState, MemberEffect>(
        { ...state, grantExpiresAtMs },
        { kind: "send-grant", toVmId: ask.leaderVmId, grant: { ...refusal, granted: true, leaseMs: memberLeaseMs } },
    );
}

function handleStop(state: MemberState): MemberStep {
    if (state.stopping) {
        return step(state);
    }
    const { current } = state;
    const effects: MemberEffect[] = [{ kind: "report" }];
    if (current?.leaderVmId === state.vmId) {
        effects.push({ kind: "drain", epoch: current.epoch });
    }
    return { state: { ...state, stopping: true, next: undefined }, effects };
}

function handleEvent(state: MemberState, event: MemberEvent): MemberStep {
    switch (event.kind) {
        case "timer":
            return step({ ...state, timerAtMs: undefined });
        case "order":
            return handleOrder(state, event.order);
        case "ask":
            return handleAsk(state, event.ask, event.nowMs);
        case "engine":
            return handleEngineStatus(state, event.engine, createWithdrawal);
        case "engine-answer":
            return handleEngineAnswer(state, event);
        case "stop":
            return handleStop(state);
    }
}

/** Handles one event of the VM's membership. */
export function memberReducer(state: MemberState, event: MemberEvent): MemberStep {
    return applyDueTransitions(handleEvent(state, event), event.nowMs);
}

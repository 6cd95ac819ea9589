/**
 * The leader VM's side of the member leases. The replica serves only while the lease of every member, including the leader VM itself, is
 * live. Each lease runs from the moment its ask was sent, on this VM's lease clock (`createLeaseClock`). The member starts counting
 * later, so it frees itself only after the lease has expired here.
 *
 * The shell calls `mayAdmit` before each admission and `mayServe` before it forwards each token. If the result is false while streams
 * are running, it dispatches a `tick` and checks again; a tick that finds an expired lease ends the streams with `stop-streams`.
 *
 * @module
 */

import { step, type Step } from "../runtime/index.js";
import {
    type ArmTimerEffect, askIntervalMs, checkIntervalMs, type CountEffect, type LeaseAsk, type LeaseGrant, type LogEffect, maxTimerGapMs,
    memberLeaseMs, type Membership,
} from "./types.js";

/** A member is a straggler when its steps take more than this many times the median of the others. */
export const stragglerFactor = 2;
/** The number of consecutive slow grants that make a member a straggler, since one slow step is noise. */
export const stragglerMinSlowGrants = 6;
/** The number of unanswered asks kept per member. Leases from older asks would have expired. */
const maxPendingAsks = 4;

/** The leader VM's record of one member's lease. */
export interface MemberLease {
    readonly expiresAtMs: number;
    /** The newest unanswered asks. */
    readonly pendingAsks: readonly { readonly nonce: number; readonly sentAtMs: number }[];
    readonly engineBootId: string;
    readonly stepLatencyMs: number;
    readonly slowGrants: number;
}

export interface LeaderState {
    readonly vmId: string;
    readonly bootId: string;
    readonly membership: Membership | undefined;
    readonly leases: Readonly<Record<string, MemberLease>>;
    readonly nextNonce: number;
    readonly lastAskAtMs: number;
    readonly lastTickAtMs: number;
    /** Readiness as of the last event. Use `mayServe` to decide whether to serve. */
    readonly ready: boolean;
    readonly draining: boolean;
    /** The highest epoch that this VM has led and ended. It never leads this epoch or a lower one again. */
    readonly endedEpoch: number;
}

export type LeaderEvent =
    | { readonly kind: "lead"; readonly membership: Membership; readonly nowMs: number }
    | { readonly kind: "unlead"; readonly epoch: number; readonly nowMs: number }
    /** The timer fired, or the shell requests a lease check. `running` is the number of running attempts. */
    | { readonly kind: "tick"; readonly running: number; readonly nowMs: number }
    | { readonly kind: "grant"; readonly grant: LeaseGrant; readonly nowMs: number }
    /** Finish the running attempts, then release the members. */
    | { readonly kind: "drain"; readonly epoch: number; readonly nowMs: number };

export type LeaderEffect =
    | ArmTimerEffect
    | CountEffect
    | LogEffect
    | { readonly kind: "send-ask"; readonly toVmId: string; readonly address: string; readonly ask: LeaseAsk }
    /** Ends every running attempt of the epoch with a typed failure and cancels it at the engine. */
    | { readonly kind: "stop-streams"; readonly epoch: number; readonly reason: string }
    /** Sends a VmReport immediately, with `replicaReady` from `mayAdmit`. */
    | { readonly kind: "report" };

type LeaderStep = Step<LeaderState, LeaderEffect>;

/** Returns the state of a sidecar that leads no replica. `bootId` is the sidecar's boot id. */
export function initialLeaderState(vmId: string, bootId: string): LeaderState {
    return {
        vmId,
        bootId,
        membership: undefined,
        leases: {},
        nextNonce: 1,
        lastAskAtMs: -Infinity,
        lastTickAtMs: -Infinity,
        ready: false,
        draining: false,
        endedEpoch: 0,
    };
}

function isLive(state: LeaderState, vmId: string, nowMs: number): boolean {
    return (state.leases[vmId]?.expiresAtMs ?? -Infinity) > nowMs;
}

/**
 * Returns whether the replica may forward tokens: every member's lease is live at `nowMs`, the current lease clock time.
 * It evaluates the leases on every call instead of using the result of the last timer. After a process pause, buffered tokens are
 * processed before any timer, and by then the members may already serve another replica.
 */
export function mayServe(state: LeaderState, nowMs: number): boolean {
    const { membership } = state;
    return membership !== undefined && membership.members.every(({ vmId }) => isLive(state, vmId, nowMs));
}

/** Returns whether the replica may admit new requests. */
export function mayAdmit(state: LeaderState, nowMs: number): boolean {
    return !state.draining && mayServe(state, nowMs);
}

/** Returns the members whose steps slow down the other members. */
export function findStragglers(state: LeaderState): string[] {
    return Object.entries(state.leases).filter(([, lease]) => lease.slowGrants >= stragglerMinSlowGrants).map(([vmId]) => vmId).sort();
}

function startLeading(state: LeaderState, membership: Membership, nowMs: number): LeaderStep {
    if (membership.epoch <= state.endedEpoch || membership.epoch === state.membership?.epoch) {
        return step(state);
    }
    const ended = endEpoch(state, "replaced");
    const started = { ...ended.state, membership, leases: {}, lastAskAtMs: -Infinity, lastTickAtMs: nowMs, ready: false, draining: false };
    const checked = checkLeases(started, 0, nowMs);
    return { state: checked.state, effects: [...ended.effects, ...checked.effects] };
}

/** Ends the epoch permanently, and only then tells the members that they don't have to wait for their grants to expire. */
function endEpoch(state: LeaderState, reason: string): LeaderStep {
    const { membership } = state;
    if (membership === undefined) {
        return step(state);
    }
    const { replicaId, epoch, leaderVmId } = membership;
    const ask: LeaseAsk = { replicaId, epoch, leaderVmId, leaderBootId: state.bootId, nonce: 0, release: true };
    const effects: LeaderEffect[] = [
        { kind: "stop-streams", epoch, reason },
        { kind: "report" },
        { kind: "log-change", what: "replica-ended", epoch, detail: reason },
        ...membership.members.map(({ vmId, address }): LeaderEffect => ({ kind: "send-ask", toVmId: vmId, address, ask })),
    ];
    return { state: { ...state, membership: undefined, leases: {}, ready: false, draining: false, endedEpoch: epoch }, effects };
}

/** Updates `ready` from the current leases, and ends the streams if a lease has been lost. */
function updateReadiness(state: LeaderState, nowMs: number, reason: string): LeaderStep {
    const ready = mayServe(state, nowMs);
    if (ready === state.ready || state.membership === undefined) {
        return step(state);
    }
    const { epoch } = state.membership;
    const expired = state.membership.members.filter(({ vmId }) => !isLive(state, vmId, nowMs));
    const detail = ready ? "every lease is live" : `${reason}: ${expired.map(({ vmId }) => vmId).join(", ")}`;
    const effects: LeaderEffect[] = [
        { kind: "report" },
        { kind: "log-change", what: ready ? "replica-ready" : "replica-not-ready", epoch, detail },
    ];
    if (!ready) {
        effects.unshift({ kind: "stop-streams", epoch, reason }, { kind: "count", metric: "membership.lease.lost" });
    }
    return { state: { ...state, ready }, effects };
}

function sendAsks(state: LeaderState, membership: Membership, nowMs: number): LeaderStep {
    const { replicaId, epoch, leaderVmId } = membership;
    const leases: Record<string, MemberLease> = {};
    const effects: LeaderEffect[] = [];
    let nonce = state.nextNonce;
    for (const { vmId, address } of membership.members) {
        const previous = state.leases[vmId] ?? { expiresAtMs: -Infinity, pendingAsks: [], engineBootId: "", stepLatencyMs: 0, slowGrants: 0 };
        leases[vmId] = { ...previous, pendingAsks: [...previous.pendingAsks, { nonce, sentAtMs: nowMs }].slice(-maxPendingAsks) };
        const ask: LeaseAsk = { replicaId, epoch, leaderVmId, leaderBootId: state.bootId, nonce, release: false };
        effects.push({ kind: "send-ask", toVmId: vmId, address, ask });
        nonce++;
    }
    return { state: { ...state, leases, nextNonce: nonce, lastAskAtMs: nowMs }, effects };
}

function checkLeases(state: LeaderState, running: number, nowMs: number): LeaderStep {
    if (state.membership === undefined) {
        return step(state);
    }
    const isPaused = nowMs - state.lastTickAtMs > maxTimerGapMs;
    const updated = updateReadiness({ ...state, lastTickAtMs: nowMs }, nowMs, isPaused ? "paused" : "lease-expired");
    const effects = [...updated.effects];
    if (isPaused) {
        effects.push({ kind: "count", metric: "membership.timer.gap" });
    }
    if (updated.state.draining && running === 0) {
        const ended = endEpoch(updated.state, "drained");
        return { state: ended.state, effects: [...effects, ...ended.effects] };
    }
    const isAskDue = nowMs - state.lastAskAtMs >= askIntervalMs;
    const asked: LeaderStep = isAskDue ? sendAsks(updated.state, state.membership, nowMs) : step(updated.state);
    return { state: asked.state, effects: [...effects, ...asked.effects, { kind: "arm-timer", atMs: nowMs + checkIntervalMs }] };
}

function medianStepLatencyOfOthers(state: LeaderState, vmId: string): number {
    const others = Object.entries(state.leases).filter(([id, lease]) => id !== vmId && lease.stepLatencyMs > 0);
    const sorted = others.map(([, lease]) => lease.stepLatencyMs).sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)] ?? Infinity;
}

function withLease(state: LeaderState, vmId: string, lease: MemberLease): LeaderState {
    return { ...state, leases: { ...state.leases, [vmId]: lease } };
}

function handleGrant(state: LeaderState, grant: LeaseGrant, nowMs: number): LeaderStep {
    const lease = state.leases[grant.vmId];
    if (lease === undefined || state.membership?.epoch !== grant.epoch) {
        return step(state);
    }
    if (!grant.granted) {
        // Also drops the pending asks, so that a late grant from before the refusal can't revive the lease.
        return updateReadiness(withLease(state, grant.vmId, { ...lease, expiresAtMs: -Infinity, pendingAsks: [] }), nowMs, grant.reason);
    }
    const sentAtMs = lease.pendingAsks.find(ask => ask.nonce === grant.nonce)?.sentAtMs;
    if (sentAtMs === undefined) {
        return step<LeaderState, LeaderEffect>(state, { kind: "count", metric: "membership.grant.unknown" });
    }
    const isRestarted = lease.engineBootId !== "" && lease.engineBootId !== grant.engineBootId;
    // The restarted engine has lost its part of the running responses, even though its sidecar kept renewing the lease.
    const afterRestart = isRestarted
        ? updateReadiness(withLease(state, grant.vmId, { ...lease, expiresAtMs: -Infinity }), nowMs, "engine-restarted")
        : step<LeaderState, LeaderEffect>(state);
    const isSlow = grant.stepLatencyMs > stragglerFactor * medianStepLatencyOfOthers(state, grant.vmId);
    const renewed: MemberLease = {
        expiresAtMs: Math.max(lease.expiresAtMs, sentAtMs + Math.min(grant.leaseMs, memberLeaseMs)),
        pendingAsks: lease.pendingAsks.filter(ask => ask.nonce > grant.nonce),
        engineBootId: grant.engineBootId,
        stepLatencyMs: grant.stepLatencyMs,
        slowGrants: isSlow ? lease.slowGrants + 1 : 0,
    };
    const withRenewal = withLease({ ...afterRestart.state, draining: state.draining || grant.leaving }, grant.vmId, renewed);
    const updated = updateReadiness(withRenewal, nowMs, "lease-expired");
    const effects = [...afterRestart.effects, ...updated.effects];
    return { state: updated.state, effects: withRenewal.draining && !state.draining ? [...effects, { kind: "report" }] : effects };
}

/** Handles one event of the replica that this VM leads. */
export function leaderReducer(state: LeaderState, event: LeaderEvent): LeaderStep {
    switch (event.kind) {
        case "lead":
            return startLeading(state, event.membership, event.nowMs);
        case "unlead":
            return event.epoch === state.membership?.epoch ? endEpoch(state, "ordered-out") : step(state);
        case "tick":
            return checkLeases(state, event.running, event.nowMs);
        case "grant":
            return handleGrant(state, event.grant, event.nowMs);
        case "drain":
            return event.epoch !== state.membership?.epoch || state.draining
                ? step(state)
                : step<LeaderState, LeaderEffect>({ ...state, draining: true }, { kind: "report" });
    }
}

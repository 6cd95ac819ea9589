/**
 * The state, events and effects of the member arbiter (`member.ts`).
 *
 * @module
 */

import type { Step } from "../runtime/index.js";
import { type ArmTimerEffect, clockMarginMs, type CountEffect, type LeaseAsk, type LeaseGrant, type LogEffect, memberLeaseMs, type Membership } from "./types.js";

/** An order of the control role that assigns this VM to a replica, or to none. */
export interface MemberOrder {
    /** 0 orders the VM to leave any replica; `model` is then the model that it keeps loaded as a spare. */
    readonly epoch: number;
    /** The highest epoch allocated when the order was created: the fencing token of orders with epoch 0 and of their engine orders. */
    readonly fence: number;
    readonly membership: Membership | undefined;
    readonly model: string | undefined;
    readonly mayLoad: boolean;
    /** Whether the replica must finish its running attempts and release its members. */
    readonly drain: boolean;
}

/** The last known status of the sidecar's engine. */
export interface EngineStatus {
    readonly bootId: string;
    readonly up: boolean;
    readonly models: readonly string[];
    readonly stepLatencyMs: number;
}

/** An order that the engine has accepted: its fencing token, the boot id of the engine, and what it may load. */
export interface AcceptedOrder {
    readonly epoch: number;
    readonly bootId: string;
    readonly model: string | undefined;
    readonly mayLoad: boolean;
}

export interface MemberState {
    readonly vmId: string;
    /** A restarted sidecar joins no replica before this time. */
    readonly joinBlockedUntilMs: number;
    /** The highest epoch or fence of any order handled so far. Orders with a lower one are stale. */
    readonly highestEpoch: number;
    readonly current: Membership | undefined;
    /** Whether the current epoch is no longer renewed. It ends when its last grant expires. */
    readonly ending: boolean;
    readonly next: Membership | undefined;
    /** When the last grant to each boot of the leader VM's sidecar expires, by boot id, on this VM's clock and including the margin. */
    readonly grantExpiresAtMs: Readonly<Record<string, number>>;
    /** No lease of this VM can be live for this epoch or a lower one. */
    readonly releasedEpoch: number;
    /** The fence of the last order to leave. This epoch and lower ones are never joined again. */
    readonly fencedEpoch: number;
    readonly model: string | undefined;
    readonly mayLoad: boolean;
    readonly engine: EngineStatus;
    /** The last order that the engine has accepted. */
    readonly acceptedOrder: AcceptedOrder | undefined;
    readonly engineOrderedAtMs: number;
    readonly stopping: boolean;
    readonly stopped: boolean;
    /** When the pending timer fires. */
    readonly timerAtMs: number | undefined;
}

export type MemberEvent =
    | { readonly kind: "order"; readonly order: MemberOrder; readonly nowMs: number }
    | { readonly kind: "ask"; readonly ask: LeaseAsk; readonly nowMs: number }
    | { readonly kind: "engine"; readonly engine: EngineStatus; readonly nowMs: number }
    | { readonly kind: "engine-answer"; readonly epoch: number; readonly bootId: string; readonly accepted: boolean; readonly nowMs: number }
    | { readonly kind: "timer"; readonly nowMs: number }
    /** A planned shutdown of this VM begins. */
    | { readonly kind: "stop"; readonly nowMs: number };

export type MemberEffect =
    | ArmTimerEffect
    | CountEffect
    | LogEffect
    | { readonly kind: "send-grant"; readonly toVmId: string; readonly grant: LeaseGrant }
    /** Sends the engine its membership; the shell answers with `engine-answer`. `epoch` is the fencing token. */
    | {
        readonly kind: "order-engine";
        readonly epoch: number;
        readonly membership: Membership | undefined;
        readonly model: string | undefined;
        readonly mayLoad: boolean;
    }
    /** Starts, drains or ends this VM's own leader reducer. */
    | { readonly kind: "lead"; readonly membership: Membership }
    | { readonly kind: "drain"; readonly epoch: number }
    | { readonly kind: "unlead"; readonly epoch: number }
    /** Sends a VmReport immediately, with `memberReport`. */
    | { readonly kind: "report" }
    | { readonly kind: "order-refused"; readonly epoch: number; readonly reason: "stale" | "conflict" | "released" }
    /** The planned shutdown is complete: this VM is in no replica. */
    | { readonly kind: "stopped" };

/** The new state and the effects that each handler of the arbiter returns. */
export type MemberStep = Step<MemberState, MemberEffect>;

/**
 * Returns the state of a sidecar that starts at `nowMs`. The previous process on the same VM may have granted a lease just before, so
 * joining immediately could put the VM in two replicas. After one lease duration plus the margin, any such grant has expired.
 */
export function initialMemberState(vmId: string, nowMs: number): MemberState {
    return {
        vmId,
        joinBlockedUntilMs: nowMs + memberLeaseMs + clockMarginMs,
        highestEpoch: 0,
        current: undefined,
        ending: false,
        next: undefined,
        grantExpiresAtMs: {},
        releasedEpoch: 0,
        fencedEpoch: 0,
        model: undefined,
        mayLoad: false,
        engine: { bootId: "", up: false, models: [], stepLatencyMs: 0 },
        acceptedOrder: undefined,
        engineOrderedAtMs: -Infinity,
        stopping: false,
        stopped: false,
        timerAtMs: undefined,
    };
}

/** Returns the membership fields of a VmReport. */
export function memberReport(state: MemberState) {
    const { current } = state;
    return {
        replicaId: current?.replicaId ?? "",
        epoch: current?.epoch ?? 0,
        joined: current !== undefined && !state.ending,
        releasedEpoch: state.releasedEpoch,
        leaving: state.stopping,
    };
}

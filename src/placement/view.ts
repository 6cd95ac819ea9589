/**
 * The input and output types of the planner.
 *
 * @module
 */

import type { Configuration, Replica, ReplicaCommand, ReplicasState } from "../cluster/index.js";

/** A VM that is silent for longer is missing: two of its reports, sent every second, are lost and its member lease has expired. */
export const vmSilenceTimeoutMs = 2_500;
/** How long a new control leader makes no decisions based on silence, because the VMs' sessions reconnect to it gradually. */
export const startWindowMs = 5_000;
/** How long a VM may report its engine as down, as a restarted sidecar does at first, before its replica is considered broken. */
export const engineGraceMs = 5_000;
/** How long a replica may fail to serve, with all VMs present and no load in progress, before it is dissolved. */
export const formTimeoutMs = 30_000;
/** How often an order is sent again while the VM's report doesn't match it. */
export const orderResendIntervalMs = 1_000;

/** The last report of a VM. Every report is a new object. */
export interface VmView {
    readonly vmId: string;
    /** The sidecar's host:port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly fabricDomain: string;
    readonly service: string;
    readonly kind: "model" | "plain";
    /** When the report arrived, on the control leader's clock. */
    readonly heardAtMs: number;
    readonly sidecarBootId: string;
    readonly engineBootId: string;
    readonly engineUp: boolean;
    readonly leaving: boolean;
    /** The epoch of the sidecar's current membership; 0 for none. */
    readonly epoch: number;
    readonly joined: boolean;
    readonly releasedEpoch: number;
    /** The models whose weights are on the VM, separated by commas. */
    readonly models: string;
    readonly loadingModel: string;
    readonly replicaReady: boolean;
    readonly stepLatencyMs: number;
    /** The members that the leader VM found slow, separated by commas. */
    readonly stragglerVmIds: string;
}

export interface PlacementView {
    readonly replicas: ReplicasState;
    readonly configuration: Configuration;
    readonly vms: ReadonlyMap<string, VmView>;
    /** When this control daemon became leader, on the clock of `nowMs`. */
    readonly leadingSinceMs: number;
    readonly nowMs: number;
    /** The wall clock time, recorded in the commands. */
    readonly wallMs: number;
}

/** An order to one sidecar, with the fields of the protocol's VmOrder. */
export interface PlacementOrder {
    readonly vmId: string;
    readonly replicaId: string;
    /** 0 orders the VM to leave any replica. */
    readonly epoch: number;
    readonly fence: number;
    readonly members: readonly { readonly vmId: string; readonly address: string }[];
    readonly leaderVmId: string;
    readonly model: string;
    readonly mayLoad: boolean;
    readonly drain: boolean;
}

/** The result of one step: the commands to propose, the orders to send, and the state for the next step. */
export interface Plan<State> {
    readonly state: State;
    readonly commands: readonly ReplicaCommand[];
    readonly orders: readonly PlacementOrder[];
    /** The number of usable VMs beyond the spares that are in no serving replica. */
    readonly strandedVms: number;
}

/** The condition of a VM. Only a usable VM can join a new replica. */
export type VmCondition = "usable" | "missing" | "engine-down" | "leaving" | "quarantined";

/** A VM with the planner's assessment. */
export interface AssessedVm {
    readonly vm: VmView;
    readonly condition: VmCondition;
    /** Whether the VM has the weights of the service's model. */
    readonly warm: boolean;
}

/** A replica with the planner's assessment. */
export interface ReplicaHealth {
    readonly replica: Replica;
    /** The members that prevent the replica from serving. */
    readonly lost: readonly string[];
    /** The members that could serve in another replica. */
    readonly survivors: readonly AssessedVm[];
    /** The members that are shutting down. */
    readonly leaving: readonly string[];
    readonly stragglers: readonly string[];
    /** Set if the replica has to be dissolved because a member has released it or it has failed to serve for too long. */
    readonly dissolveReason: string | undefined;
    readonly ready: boolean;
}

/** The VMs of one service in one fabric domain. Replicas don't span domains. */
export interface DomainView {
    readonly service: string;
    readonly replicaVms: number;
    readonly spares: number;
    readonly dataCentre: string;
    readonly fabricDomain: string;
    readonly model: string | undefined;
    /** The number of VMs that control tracks, present or missing. */
    readonly knownVms: number;
    /** Usable VMs that are not bound to a replica and whose sidecars hold no epoch. */
    readonly free: readonly AssessedVm[];
    /** Usable VMs that are leaving an ended replica; they are free in a second or two. */
    readonly releasing: readonly AssessedVm[];
    readonly replicas: readonly ReplicaHealth[];
    /** The highest number of replicas that have existed in the domain at the same time. */
    readonly peakReplicas: number;
}

/**
 * The assignment of VMs to replicas. Every membership has an epoch, taken from a single counter and used as the fencing token of the
 * orders for it. A VM is in at most one replica. It becomes free again only when its sidecar releases it, or when the control leader
 * states that its lease and the clock margin have expired.
 *
 * @module
 */

import { z } from "zod";

export const formReplicaSchema = z.strictObject({
    kind: z.literal("form-replica"),
    replicaId: z.string().min(1),
    service: z.string(),
    model: z.string().optional(),
    dataCentre: z.string(),
    fabricDomain: z.string(),
    memberVmIds: z.array(z.string()).min(1),
    leaderVmId: z.string(),
    atMs: z.number(),
});

/** Ends a replica. Its members are in the releasing state until each is freed. */
export const dissolveReplicaSchema = z.strictObject({
    kind: z.literal("dissolve-replica"),
    replicaId: z.string(),
    epoch: z.number().int(),
    reason: z.string(),
});

/** Frees a VM whose sidecar released the epoch, or whose lease has expired. */
export const freeVmSchema = z.strictObject({
    kind: z.literal("free-vm"),
    vmId: z.string(),
    epoch: z.number().int(),
    reason: z.enum(["released", "expired"]),
});

export type FormReplica = z.infer<typeof formReplicaSchema>;
export type DissolveReplica = z.infer<typeof dissolveReplicaSchema>;
export type FreeVm = z.infer<typeof freeVmSchema>;
export type ReplicaCommand = FormReplica | DissolveReplica | FreeVm;

export interface Replica {
    readonly replicaId: string;
    readonly epoch: number;
    readonly service: string;
    readonly model: string | undefined;
    readonly dataCentre: string;
    readonly fabricDomain: string;
    readonly memberVmIds: readonly string[];
    readonly leaderVmId: string;
    readonly formedAtMs: number;
}

/** The replica that a VM is bound to. A VM without a binding is free. */
export interface Binding {
    readonly replicaId: string;
    readonly epoch: number;
    readonly releasing: boolean;
}

export interface ReplicasState {
    readonly lastEpoch: number;
    readonly replicas: Readonly<Record<string, Replica>>;
    readonly bindings: Readonly<Record<string, Binding>>;
}

export type ReplicaResult =
    | { readonly outcome: "done"; readonly epoch: number }
    | { readonly outcome: "refused"; readonly reason: string };

export const emptyReplicas: ReplicasState = { lastEpoch: 0, replicas: {}, bindings: {} };

function omitKey<Value>(record: Readonly<Record<string, Value>>, key: string): Record<string, Value> {
    const rest = { ...record };
    delete rest[key];
    return rest;
}

function formReplica(state: ReplicasState, command: FormReplica): { state: ReplicasState; result: ReplicaResult } {
    const boundVmIds = command.memberVmIds.filter(vmId => state.bindings[vmId] !== undefined);
    if (boundVmIds.length > 0) {
        return { state, result: { outcome: "refused", reason: `bound: ${boundVmIds.join(", ")}` } };
    }
    if (state.replicas[command.replicaId] !== undefined || new Set(command.memberVmIds).size !== command.memberVmIds.length) {
        return { state, result: { outcome: "refused", reason: "replica exists or a member stands twice" } };
    }
    const epoch = state.lastEpoch + 1;
    const replica: Replica = {
        replicaId: command.replicaId,
        epoch,
        service: command.service,
        model: command.model,
        dataCentre: command.dataCentre,
        fabricDomain: command.fabricDomain,
        memberVmIds: command.memberVmIds,
        leaderVmId: command.leaderVmId,
        formedAtMs: command.atMs,
    };
    const bindings = { ...state.bindings };
    for (const vmId of command.memberVmIds) {
        bindings[vmId] = { replicaId: command.replicaId, epoch, releasing: false };
    }
    const replicas = { ...state.replicas, [command.replicaId]: replica };
    return { state: { lastEpoch: epoch, replicas, bindings }, result: { outcome: "done", epoch } };
}

function dissolveReplica(state: ReplicasState, command: DissolveReplica): { state: ReplicasState; result: ReplicaResult } {
    const replica = state.replicas[command.replicaId];
    if (replica === undefined || replica.epoch !== command.epoch) {
        return { state, result: { outcome: "refused", reason: "no such replica at this epoch" } };
    }
    const bindings = { ...state.bindings };
    for (const vmId of replica.memberVmIds) {
        bindings[vmId] = { replicaId: replica.replicaId, epoch: replica.epoch, releasing: true };
    }
    return {
        state: { ...state, replicas: omitKey(state.replicas, command.replicaId), bindings },
        result: { outcome: "done", epoch: replica.epoch },
    };
}

function freeVm(state: ReplicasState, command: FreeVm): { state: ReplicasState; result: ReplicaResult } {
    const binding = state.bindings[command.vmId];
    if (binding === undefined || binding.epoch !== command.epoch || !binding.releasing) {
        return { state, result: { outcome: "refused", reason: "the VM is not releasing this epoch" } };
    }
    return { state: { ...state, bindings: omitKey(state.bindings, command.vmId) }, result: { outcome: "done", epoch: command.epoch } };
}

/** Applies one replica command. */
export function applyReplicaCommand(state: ReplicasState, command: ReplicaCommand): { state: ReplicasState; result: ReplicaResult } {
    switch (command.kind) {
        case "form-replica":
            return formReplica(state, command);
        case "dissolve-replica":
            return dissolveReplica(state, command);
        case "free-vm":
            return freeVm(state, command);
    }
}

/**
 * Assesses the VMs and replicas of one domain for the repair policies.
 *
 * @module
 */

import type { Replica, Service } from "../cluster/index.js";
import { isInStartWindow, type VmHealth } from "./health.js";
import type { Lookup } from "./overlay.js";
import type { DomainState } from "./state.js";
import { type DomainView, engineGraceMs, formTimeoutMs, type AssessedVm, type PlacementView, type ReplicaHealth } from "./view.js";

/** The assessment of one domain, with the data that the planner keeps for the next step. */
export interface DomainAssessment {
    readonly domain: DomainView;
    readonly present: readonly AssessedVm[];
    readonly notServingSinceMs: Readonly<Record<string, number>>;
}

type VmHealthLookup = Lookup<VmHealth>;

/** Returns whether the VM is known and its sidecar has reported recently. */
export function isPresent(health: VmHealth | undefined): health is VmHealth {
    return health !== undefined && health.condition !== "missing";
}

export function isWarm(health: VmHealth, model: string | undefined): boolean {
    return model === undefined || health.view.models.split(",").includes(model);
}

/**
 * Returns whether the member prevents its replica from serving. A member that control doesn't hear is not lost while its leader VM
 * reports every lease as live: ending the replica would turn a partition between the member and control into an outage.
 */
function isLost(view: PlacementView, health: VmHealth | undefined, isReplicaReady: boolean): boolean {
    if (!isPresent(health)) {
        return !isReplicaReady && !isInStartWindow(view);
    }
    return health.condition === "engine-down" && view.nowMs - health.engineDownAtMs > engineGraceMs;
}

function findDissolveReason(
    replica: Replica, members: readonly (VmHealth | undefined)[], notServingSinceMs: number | undefined, nowMs: number,
) {
    const released = members.find(member => isPresent(member) && member.view.releasedEpoch >= replica.epoch);
    if (released !== undefined) {
        return `released by ${released.view.vmId}`;
    }
    return notServingSinceMs !== undefined && nowMs - notServingSinceMs > formTimeoutMs ? "did not come to serve" : undefined;
}

function assessReplica(view: PlacementView, healths: VmHealthLookup, replica: Replica, domainState: DomainState) {
    const members = replica.memberVmIds.map(vmId => healths.get(vmId));
    const leader = healths.get(replica.leaderVmId);
    const ready = isPresent(leader) && leader.view.replicaReady && leader.view.epoch === replica.epoch;
    const lost = replica.memberVmIds.filter((_, index) => isLost(view, members[index], ready));
    const isLoading = members.some(member => member !== undefined && !isWarm(member, replica.model));
    const isNotServing = !ready && lost.length === 0 && !isLoading && !isInStartWindow(view);
    const notServingSinceMs = isNotServing ? domainState.notServingSinceMs[replica.replicaId] ?? view.nowMs : undefined;
    const survivors = members
        .filter(member => member?.condition === "usable")
        .map((member): AssessedVm => ({ vm: member!.view, condition: "usable", warm: isWarm(member!, replica.model) }));
    const health: ReplicaHealth = {
        replica,
        lost,
        survivors,
        leaving: members.filter(member => member?.condition === "leaving").map(member => member!.view.vmId),
        stragglers: isPresent(leader) && leader.view.stragglerVmIds !== "" ? leader.view.stragglerVmIds.split(",") : [],
        dissolveReason: findDissolveReason(replica, members, notServingSinceMs, view.nowMs),
        ready,
    };
    return { health, notServingSinceMs };
}

/** Assesses one domain of `service`. */
export function assessDomain(view: PlacementView, healths: VmHealthLookup, domainState: DomainState, service: Service): DomainAssessment {
    const { bindings, replicas } = view.replicas;
    const [, dataCentre, fabricDomain] = domainState.key.split("\n");
    const activeReplicas = new Map<string, Replica>();
    const present: AssessedVm[] = [];
    const free: AssessedVm[] = [];
    const releasing: AssessedVm[] = [];
    for (const vmId of domainState.vmIds) {
        const health = healths.get(vmId)!;
        const vm = view.vms.get(vmId) ?? health.view;
        const assessed: AssessedVm = { vm, condition: health.condition, warm: isWarm(health, service.model) };
        const binding = bindings[vmId];
        const replica = binding === undefined ? undefined : replicas[binding.replicaId];
        if (replica !== undefined && !binding!.releasing) {
            activeReplicas.set(replica.replicaId, replica);
        }
        if (isPresent(health)) {
            present.push(assessed);
        }
        if (health.condition === "usable" && binding === undefined && health.view.epoch === 0) {
            free.push(assessed);
        }
        const isBeingReleased = binding === undefined ? health.view.epoch !== 0 : binding.releasing;
        if (health.condition === "usable" && isBeingReleased) {
            releasing.push(assessed);
        }
    }
    const assessedReplicas = [...activeReplicas.values()].map(replica => assessReplica(view, healths, replica, domainState));
    const notServingEntries = assessedReplicas
        .flatMap(({ health, notServingSinceMs }) =>
            notServingSinceMs === undefined ? [] : [[health.replica.replicaId, notServingSinceMs]]);
    return {
        domain: {
            service: service.name,
            replicaVms: service.replicaVms,
            spares: service.sparesPerDomain,
            dataCentre: dataCentre!,
            fabricDomain: fabricDomain!,
            model: service.model,
            knownVms: domainState.vmIds.length,
            free,
            releasing,
            replicas: assessedReplicas.map(({ health }) => health),
            peakReplicas: Math.max(domainState.peakReplicas, assessedReplicas.length),
        },
        present,
        notServingSinceMs: Object.fromEntries(notServingEntries) as Record<string, number>,
    };
}

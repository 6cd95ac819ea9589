/**
 * Plans one step of placement and repair: which replicas to end, which VMs to free, which replicas to form, and which orders to send to
 * the sidecars. The plan is only a proposal: the replicated state refuses a VM that is bound, and the sidecar is the arbiter of its VM.
 * A step checks each VM once, but plans only the domains with changes or unfinished work.
 *
 * @module
 */

import type { FormReplica, ReplicaCommand, Service } from "../cluster/index.js";
import { clockMarginMs, memberLeaseMs } from "../membership/index.js";
import { assessDomain, type DomainAssessment, isPresent } from "./domain.js";
import { isInStartWindow, quarantineStraggler, updateVmHealth, type VmHealth } from "./health.js";
import { defaultMaxConcurrentLoads, grantLoads } from "./loads.js";
import { collectOrders } from "./orders.js";
import { createOverlay, type Overlay } from "./overlay.js";
import type { RepairPolicy } from "./policy.js";
import { type DomainState, emptyDomainState, type LoadRequest, type PlacementState } from "./state.js";
import type { AssessedVm, DomainView, PlacementOrder, PlacementView, Plan } from "./view.js";

const sweepIntervalMs = 5_000;
/** Ranks spares after all members of replicas. */
const spareRank = 1_000;

export interface PlacementOptions {
    readonly policy: RepairPolicy;
    readonly maxConcurrentLoads?: number;
}

/** The mutable working state of one planning step. */
interface PlanContext {
    readonly view: PlacementView;
    readonly policy: RepairPolicy;
    readonly healths: Overlay<VmHealth>;
    readonly domains: Map<string, DomainState>;
    readonly replicaCounts: Map<string, number>;
    readonly commands: ReplicaCommand[];
    nextEpoch: number;
}

function countReplicasByService(view: PlacementView): Map<string, number> {
    const replicaCounts = new Map<string, number>();
    for (const { service } of Object.values(view.replicas.replicas)) {
        replicaCounts.set(service, (replicaCounts.get(service) ?? 0) + 1);
    }
    return replicaCounts;
}

/** Updates the health of every VM. Returns the keys of the domains in which a VM has changed. */
function updateVmHealths(state: PlacementState, { view, healths, domains }: PlanContext): Set<string> {
    const changed = new Set<string>();
    const { bindings } = view.replicas;
    const previousBindings = state.replicas.bindings;
    const hasNewReplicas = state.replicas !== view.replicas;
    for (const vm of view.vms.values()) {
        if (vm.kind !== "model") {
            continue;
        }
        const previous = healths.get(vm.vmId);
        const health = updateVmHealth(view, vm, previous);
        if (health !== previous) {
            healths.set(vm.vmId, health);
            changed.add(health.domainKey);
        }
        if (hasNewReplicas && bindings[vm.vmId] !== previousBindings[vm.vmId]) {
            changed.add(health.domainKey);
        }
        if (previous?.domainKey !== health.domainKey) {
            moveVm(domains, vm.vmId, previous?.domainKey, health.domainKey);
        }
    }
    return changed;
}

function moveVm(domains: Map<string, DomainState>, vmId: string, from: string | undefined, to: string | undefined) {
    if (from !== undefined) {
        const domain = domains.get(from)!;
        domains.set(from, { ...domain, vmIds: domain.vmIds.filter(id => id !== vmId), needsPlanning: true });
    }
    if (to !== undefined) {
        const domain = domains.get(to) ?? emptyDomainState(to);
        domains.set(to, { ...domain, vmIds: [...domain.vmIds, vmId].sort(), needsPlanning: true });
    }
}

/** Drops VMs that control no longer tracks, and frees those that are still bound to an ended replica. */
function dropUnknownVms(context: PlanContext) {
    const { view, healths, domains, commands } = context;
    for (const [vmId, health] of healths.entries()) {
        if (!view.vms.has(vmId)) {
            healths.delete(vmId);
            moveVm(domains, vmId, health.domainKey, undefined);
        }
    }
    if (isInStartWindow(view)) {
        return;
    }
    for (const [vmId, binding] of Object.entries(view.replicas.bindings)) {
        if (binding.releasing && !view.vms.has(vmId)) {
            commands.push({ kind: "free-vm", vmId, epoch: binding.epoch, reason: "expired" });
        }
    }
}

/**
 * Frees released VMs. A silent VM is freed once any lease that it granted before the end of its replica has expired: by then its old
 * leader VM no longer serves, and if the VM is still alive, its sidecar joins no other replica without an order based on this state.
 */
function freeReleasedVms(context: PlanContext, domainState: DomainState): Record<string, number> {
    const { view, healths, commands } = context;
    const releasingSinceMs: Record<string, number> = {};
    for (const vmId of domainState.vmIds) {
        const binding = view.replicas.bindings[vmId];
        if (binding?.releasing !== true) {
            continue;
        }
        releasingSinceMs[vmId] = domainState.releasingSinceMs[vmId] ?? view.nowMs;
        const health = healths.get(vmId)!;
        const isReleased = health.view.releasedEpoch >= binding.epoch;
        const silentSinceMs = Math.max(view.vms.get(vmId)?.heardAtMs ?? -Infinity, releasingSinceMs[vmId]);
        const isExpired = !isPresent(health) && !isInStartWindow(view) && view.nowMs - silentSinceMs > memberLeaseMs + clockMarginMs;
        if (isReleased || isExpired) {
            commands.push({ kind: "free-vm", vmId, epoch: binding.epoch, reason: isReleased ? "released" : "expired" });
        }
    }
    return releasingSinceMs;
}

function endReplicas(context: PlanContext, domain: DomainView, draining: Record<string, string>): number {
    let ended = 0;
    for (const { health, reason, drain } of context.policy.selectEndings(domain)) {
        const { replicaId, epoch } = health.replica;
        for (const vmId of health.stragglers) {
            const straggler = context.healths.get(vmId);
            if (straggler !== undefined && drain) {
                context.healths.set(vmId, quarantineStraggler(straggler, context.view.nowMs));
            }
        }
        if (drain) {
            draining[replicaId] = reason;
            continue;
        }
        delete draining[replicaId];
        context.commands.push({ kind: "dissolve-replica", replicaId, epoch, reason });
        ended++;
    }
    return ended;
}

/** Chooses the member with the lowest step latency, since the leader VM relays every token. Ties go to the lowest id. */
function chooseLeader(members: readonly AssessedVm[]): string {
    return [...members].sort((a, b) => a.vm.stepLatencyMs - b.vm.stepLatencyMs || (a.vm.vmId < b.vm.vmId ? -1 : 1))[0]!.vm.vmId;
}

function formReplicas(context: PlanContext, domain: DomainView, activeReplicas: number, service: Service, maxReplicas: number): number {
    const { view, commands, replicaCounts, policy } = context;
    const candidates = [...policy.rankFreeVms(domain)];
    const maxServiceReplicas = service.replicas ?? Infinity;
    let missing = Math.min(policy.targetReplicas(domain), maxReplicas) - activeReplicas;
    let formed = 0;
    while (missing > 0 && candidates.length >= domain.replicaVms && (replicaCounts.get(service.name) ?? 0) < maxServiceReplicas) {
        const members = candidates.splice(0, domain.replicaVms);
        const command: FormReplica = {
            kind: "form-replica",
            replicaId: `${service.name}-${context.nextEpoch++}`,
            service: service.name,
            ...(service.model === undefined ? {} : { model: service.model }),
            dataCentre: domain.dataCentre,
            fabricDomain: domain.fabricDomain,
            memberVmIds: members.map(({ vm }) => vm.vmId),
            leaderVmId: chooseLeader(members),
            atMs: view.wallMs,
        };
        commands.push(command);
        replicaCounts.set(service.name, (replicaCounts.get(service.name) ?? 0) + 1);
        missing--;
        formed++;
    }
    return formed;
}

function collectLoadRequests({ domain, present }: DomainAssessment, view: PlacementView): LoadRequest[] {
    const cold = new Map(present.filter(({ warm, condition }) => !warm && condition !== "engine-down").map(assessed => [assessed.vm.vmId, assessed]));
    const requests: LoadRequest[] = [];
    for (const { replica, lost } of domain.replicas) {
        const members = lost.length > 0 ? [] : replica.memberVmIds.filter(vmId => cold.has(vmId));
        requests.push(...members.map(vmId => ({ vmId, rank: members.length })));
    }
    for (const vmId of cold.keys()) {
        if (view.replicas.bindings[vmId] === undefined) {
            requests.push({ vmId, rank: spareRank });
        }
    }
    return requests;
}

function planDomain(
    context: PlanContext, domainState: DomainState, service: Service, maxReplicas: number,
): { nextState: DomainState; assessment: DomainAssessment } {
    const { view, healths } = context;
    const commandsBefore = context.commands.length;
    const assessment = assessDomain(view, healths, domainState, service);
    const { domain, present } = assessment;
    const releasingSinceMs = freeReleasedVms(context, domainState);
    const activeIds = new Set(domain.replicas.map(({ replica }) => replica.replicaId));
    const draining = Object.fromEntries(Object.entries(domainState.draining).filter(([replicaId]) => activeIds.has(replicaId)));
    const ended = endReplicas(context, domain, draining);
    formReplicas(context, domain, domain.replicas.length - ended, service, maxReplicas);
    const loadRequests = collectLoadRequests(assessment, view);
    const isSettled = context.commands.length === commandsBefore && loadRequests.length === 0 &&
        present.length === domainState.vmIds.length && Object.keys(releasingSinceMs).length === 0 &&
        domain.releasing.length === 0 && Object.keys(draining).length === 0 &&
        domain.replicas.every(health => health.ready && health.lost.length === 0 && health.stragglers.length === 0);
    const idleVms = domain.free.length + domain.replicas.reduce((sum, health) => sum + (health.ready ? 0 : health.survivors.length), 0);
    return {
        assessment,
        nextState: {
            ...domainState,
            peakReplicas: domain.peakReplicas,
            needsPlanning: !isSettled,
            strandedVms: Math.max(0, idleVms - domain.spares),
            canHoldReplica: present.length >= domain.replicaVms,
            loadRequests,
            notServingSinceMs: assessment.notServingSinceMs,
            releasingSinceMs,
            draining,
        },
    };
}

function countCapableDomains(domains: Iterable<DomainState>): Map<string, number> {
    const domainCounts = new Map<string, number>();
    for (const { key, canHoldReplica } of domains) {
        const service = key.slice(0, key.indexOf("\n"));
        domainCounts.set(service, (domainCounts.get(service) ?? 0) + Number(canHoldReplica));
    }
    return domainCounts;
}

/** Plans one step. The shell proposes the commands in order, sends the orders, and calls this again about 250 ms later. */
export function planPlacement(state: PlacementState, view: PlacementView, options: PlacementOptions): Plan<PlacementState> {
    const healths = createOverlay(state.vms);
    const domains = new Map(state.domains);
    const replicaCounts = state.replicas === view.replicas ? new Map(state.replicaCounts) : countReplicasByService(view);
    const context: PlanContext = {
        view, policy: options.policy, healths, domains, replicaCounts, commands: [], nextEpoch: view.replicas.lastEpoch + 1,
    };
    const changedDomains = updateVmHealths(state, context);
    const sweepAtMs = view.nowMs >= state.sweepAtMs ? view.nowMs + sweepIntervalMs : state.sweepAtMs;
    if (sweepAtMs !== state.sweepAtMs) {
        dropUnknownVms(context);
    }
    const isReconfigured = view.configuration !== state.configuration;
    const capableDomains = countCapableDomains(domains.values());
    const assessments = new Map<string, DomainAssessment>();
    for (const service of view.configuration.services.filter(({ kind }) => kind === "model")) {
        const domainCount = Math.max(1, capableDomains.get(service.name) ?? 1);
        const maxReplicas = service.replicas === undefined ? Infinity : Math.ceil(service.replicas / domainCount);
        for (const domainState of domains.values()) {
            const isDue = isReconfigured || domainState.needsPlanning || changedDomains.has(domainState.key) ||
                service.replicas !== undefined;
            if (!isDue || !domainState.key.startsWith(`${service.name}\n`)) {
                continue;
            }
            const planned = planDomain(context, domainState, service, maxReplicas);
            domains.set(domainState.key, planned.nextState);
            assessments.set(domainState.key, planned.assessment);
        }
    }
    const loadRequests = [...domains.values()].flatMap(domainState => domainState.loadRequests);
    const { loads } = grantLoads(state.loads, loadRequests, healths, options.maxConcurrentLoads ?? defaultMaxConcurrentLoads, view.nowMs);
    const orders = planOrders(context, assessments, loads);
    const strandedVms = [...domains.values()].reduce((sum, domainState) => sum + domainState.strandedVms, 0);
    const { replicas, configuration } = view;
    return {
        state: { vms: healths.toMap(), domains, loads, replicas, replicaCounts, configuration, strandedVms, sweepAtMs },
        commands: context.commands,
        orders,
        strandedVms,
    };
}

function planOrders(
    context: PlanContext, assessments: ReadonlyMap<string, DomainAssessment>, loads: ReadonlyMap<string, number>,
): PlacementOrder[] {
    const { view, healths, domains } = context;
    return [...assessments].flatMap(([key, { domain, present }]) => {
        const domainState = domains.get(key)!;
        const { orders, pendingOrders } = collectOrders(
            { view, healths, loads, draining: domainState.draining, model: domain.model }, present, domainState.pendingOrders,
        );
        const isPending = Object.keys(pendingOrders).length > 0;
        domains.set(key, { ...domainState, pendingOrders, needsPlanning: domainState.needsPlanning || isPending });
        return orders;
    });
}

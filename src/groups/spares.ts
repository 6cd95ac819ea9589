/**
 * Keeps VMs ready to repair a group of any model: loads weights onto their hosts, and from there onto their accelerators.
 *
 * Designed for domains with few spares, where a group is down from the loss of a VM until another one has joined in its place. A VM whose
 * last group had the same model joins in 0.2 s, one with the weights only on its host in 1.1 to 1.6 s, an empty one in 12 to 16 s. So a
 * spare joins a standby group of its own, which is never opened, as soon as it has weights. Weights on the accelerator are not needed on
 * the host as well: the host takes the weights of another model instead, so that any VM can soon serve either.
 *
 * @module
 */

import { standbyNameOf, type Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    coverage, coverageWithVms, fittingModels, freeByDomain, freeInDomain, includesFormerMember, modelOnAccelerator,
    type PlanningStep, readinessOf,
} from "./planningStep.js";
import { isAboutToForm, isShort, roundedCoverage } from "./shortage.js";
import { mayReplaceHostModel, servingLoadsLeft, shortModelForEmptyVm, shortModelForFreeVm } from "./weights.js";

/** Window over which the rate of the weight store is limited, and the share of the rate to use: loads of another leader may overlap. */
const loadWindowMs = 5_000;
const loadRateShare = 0.8;
/** Concurrent full-speed loads reserved for VMs without any weights, which are of no use until they have some. */
const loadsReservedForEmpty = 2;

function mayLoad(step: PlanningStep, reservedLoads: number): boolean {
    const { engine, nowMs, hasTraffic } = step.view;
    if (!hasTraffic) {
        return true;
    }
    const recent = [...step.pendingLoads.values()].filter(({ atMs }) => nowMs - atMs < loadWindowMs).length;
    const maxConcurrent = Math.max(1, engine.loadsAtOnce - reservedLoads);
    return recent < engine.loadsPerSecond * loadWindowMs / 1_000 * loadRateShare && step.pendingLoads.size < maxConcurrent;
}

function orderLoad(upstream: Upstream, model: string, reason: string, step: PlanningStep) {
    step.pendingLoads.set(upstream.id, { model, bornMs: upstream.bornMs, atMs: step.view.nowMs });
    step.orders.push({ upstreamId: upstream.id, order: { kind: "stage", model }, reason });
}

/** Returns the model with the lowest coverage, including spares. */
function leastCovered(models: readonly EngineModel[], step: PlanningStep): EngineModel | undefined {
    return models
        .map(model => ({ model, coverage: coverageWithSpares(model, step) }))
        .sort((a, b) => a.coverage - b.coverage)[0]?.model;
}

/**
 * Estimates what the loss of VMs of a domain would cost a model there, unless one more VM can join its groups: a lost member stops its
 * whole group. VMs left over from a group that lost a member are idle already and count as well.
 */
function needIn(domain: string, model: EngineModel, step: PlanningStep): number {
    const assignedVms = step.groupTable.groupsInDomain(domain)
        .filter(group => group.model === model.name && group.phase !== "ending")
        .reduce((sum, group) => sum + group.memberIds.length, 0);
    const free = freeInDomain(domain, step);
    const formerMembers = free.filter(upstream => includesFormerMember([upstream], model, step));
    const spares = free.filter(upstream => !formerMembers.includes(upstream) &&
        (step.pendingLoads.get(upstream.id)?.model === model.name || readinessOf(upstream, model, step) !== "empty"));
    return (assignedVms + formerMembers.length) * model.size / (1 + spares.length);
}

/** Returns the model whose weights are needed most in a domain; if no model needs any there, the one with the lowest overall coverage. */
function mostNeededModel(domain: string, step: PlanningStep): EngineModel | undefined {
    const models = fittingModels(domain, step);
    const byNeed = models.map(model => ({ model, need: needIn(domain, model, step) })).sort((a, b) => b.need - a.need);
    return (byNeed[0]?.need ?? 0) > 0 ? byNeed[0]!.model : leastCovered(models, step);
}

/** Loads weights onto VMs that have none. */
export function stageEmptyVms(step: PlanningStep): void {
    for (const [domain, upstreams] of freeByDomain(step)) {
        for (const upstream of upstreams) {
            const isEmpty = upstream.stagedModels.length === 0 && modelOnAccelerator(upstream, step) === undefined;
            const shortModel = isEmpty ? shortModelForEmptyVm(domain, step) : undefined;
            const model = isEmpty ? shortModel ?? mostNeededModel(domain, step) : undefined;
            if (model !== undefined && !step.pendingLoads.has(upstream.id) && mayLoad(step, 0)) {
                const shortage = shortModel === undefined ? "" : `; model ${model.name} is short`;
                orderLoad(upstream, model.name, `an empty VM of domain ${domain}${shortage}`, step);
            }
        }
    }
}

/** Returns the VMs whose host holds no weights other than those on the accelerator. Spares come first, since they are used first. */
function vmsWithRoomOnHost(step: PlanningStep): Upstream[] {
    const members = [...step.groupTable.groups.values()].filter(group => group.phase === "open").flatMap(group => group.memberIds);
    const servingVms = members.map(id => step.usable.get(id)).filter(upstream => upstream !== undefined);
    return [...[...freeByDomain(step).values()].flat(), ...servingVms].filter(upstream => {
        const loadedModel = modelOnAccelerator(upstream, step);
        return loadedModel !== undefined && upstream.stagedModels.every(staged => staged === loadedModel);
    });
}

/** Loads the weights of a second model onto the hosts of VMs that have one on the accelerator. */
export function stageSecondModel(step: PlanningStep): void {
    const plansForShortage = step.view.plansForShortage && step.view.hasTraffic;
    /** Computed after the loads onto free VMs, which come first. */
    let loadsLeft: number | undefined;
    for (const upstream of vmsWithRoomOnHost(step)) {
        const isServing = step.groupTable.isInGroup(upstream.id);
        if (plansForShortage && isServing) {
            loadsLeft ??= servingLoadsLeft(step);
        }
        if (plansForShortage && (loadsLeft === 0 || !mayLoad(step, loadsReservedForEmpty))) {
            return;
        }
        const others = fittingModels(upstream.domain!, step).filter(model => model.name !== modelOnAccelerator(upstream, step));
        const shortModel = plansForShortage ? shortModelForFreeVm(upstream, step) : undefined;
        if (plansForShortage && shortModel === undefined && !mayReplaceHostModel(upstream, step)) {
            continue;
        }
        const model = shortModel ?? leastCovered(others, step);
        if (model !== undefined && !step.pendingLoads.has(upstream.id) && mayLoad(step, loadsReservedForEmpty)) {
            const shortage = isShort(model, step) ? `; model ${model.name} covers ${roundedCoverage(model, step)} of its demand` : "";
            orderLoad(upstream, model.name, `weights of a second model${shortage}`, step);
            loadsLeft = isServing && loadsLeft !== undefined ? loadsLeft - 1 : loadsLeft;
        }
    }
}

/** Returns the coverage of a model, including spares that have its weights on the accelerator or soon will. */
function coverageWithSpares(model: EngineModel, step: PlanningStep): number {
    const spares = [...freeByDomain(step).values()].flat().filter(upstream =>
        (modelOnAccelerator(upstream, step) ?? step.pendingLoads.get(upstream.id)?.model ?? upstream.stagedModels[0]) === model.name,
    ).length;
    return coverage(model, step) + coverageWithVms(spares, model, step);
}

/** A spare that has not joined its standby group is ordered again after this time, several times what a join from the host takes. */
const standbyJoinRetryMs = 8_000;

/** Orders spares with weights only on the host into standby groups, which brings the weights onto the accelerator. */
export function joinStandbyGroups(step: PlanningStep): void {
    const { view } = step;
    for (const upstream of [...freeByDomain(step).values()].flat()) {
        const model = view.engine.models.find(candidate => upstream.stagedModels.includes(candidate.name));
        if (model === undefined || model.size === 1 || step.pendingLoads.has(upstream.id) ||
            modelOnAccelerator(upstream, step) !== undefined || isAboutToForm(upstream.domain!, step)) {
            continue;
        }
        const last = step.standbyJoins.get(upstream.id);
        if (last?.bornMs === upstream.bornMs && last.model === model.name && view.nowMs - last.atMs < standbyJoinRetryMs) {
            continue;
        }
        step.lastEpoch++;
        step.standbyJoins.set(upstream.id, { model: model.name, bornMs: upstream.bornMs, atMs: view.nowMs });
        const group = standbyNameOf(model.name, step.lastEpoch);
        step.orders.push({
            upstreamId: upstream.id,
            order: { kind: "join", group, epoch: step.lastEpoch, model: model.name, memberIds: [upstream.id] },
            reason: "a spare loads its weights onto the accelerator",
        });
    }
}

/**
 * Chooses which weights the hosts hold when plans are made for a shortage of capacity.
 *
 * Designed for a domain that restarts as a whole: its accelerators are empty then, and what it can serve within two seconds depends on the
 * weights on its hosts. If all of them hold one model, another model waits 12 to 16 s for loads while VMs stand idle. So the hosts of a
 * domain hold each model in the proportion in which the domain would serve them.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    demandOf, fittingModels, freeByDomain, freeInDomain, includesFormerMember, modelOnAccelerator, type PlanningStep, readinessOf,
    sparesToKeep,
} from "./planningStep.js";
import { hasIdleBeyondSpares, isShort, shortestModel } from "./shortage.js";

/** The share of concurrent loads that second models of serving VMs may take while a model is short. */
const servingLoadShare = 0.5;

/** Returns how many hosts of a domain should hold each model: enough for a group of each if all fit, the rest in proportion to demand. */
export function wantedHosts(domain: string, step: PlanningStep): ReadonlyMap<string, number> {
    const models = fittingModels(domain, step);
    const vms = step.usableByDomain.get(domain)?.length ?? 0;
    const minimum = models.reduce((sum, { size }) => sum + size, 0);
    const baseOf = (model: EngineModel) => minimum <= vms ? model.size : 0;
    const rest = minimum <= vms ? vms - minimum : vms;
    const totalDemand = Math.max(1e-6, models.reduce((sum, model) => sum + demandOf(model, step), 0));
    return new Map(models.map(model => [model.name, Math.round(baseOf(model) + rest * demandOf(model, step) / totalDemand)]));
}

/** Returns the model that a VM's host holds or will hold after the load in progress. */
function hostModelOf(upstream: Upstream, step: PlanningStep): string | undefined {
    return step.pendingLoads.get(upstream.id)?.model ?? upstream.stagedModels[0];
}

function countHosts(domain: string, model: string, step: PlanningStep): number {
    return (step.usableByDomain.get(domain) ?? []).filter(upstream => hostModelOf(upstream, step) === model).length;
}

function holds(upstream: Upstream, model: EngineModel, step: PlanningStep): boolean {
    return readinessOf(upstream, model, step) !== "empty" || hostModelOf(upstream, step) === model.name;
}

/**
 * Returns the short model to load onto an empty VM of a domain; undefined if the domain's repairs need the VM. Single VMs are for repairs:
 * on a site with domains of 19 that loses a VM every 3 s, loads for a short model cost one VM in a hundred of the on-time capacity.
 */
export function shortModelForEmptyVm(domain: string, step: PlanningStep): EngineModel | undefined {
    const free = freeInDomain(domain, step);
    const isRepairDue = fittingModels(domain, step).some(model => includesFormerMember(free, model, step));
    const shortest = shortestModel(domain, step);
    const isEnough = shortest !== undefined && hasIdleBeyondSpares(shortest, domain, free.length, step);
    return isEnough && !isRepairDue ? shortest : undefined;
}

/**
 * Returns the model to load onto the host of a VM whose accelerator holds another one. Free VMs beyond the spares take the shortest model;
 * other VMs take the one that most hosts of their domain lack, and none that enough of them hold.
 */
export function secondModelFor(upstream: Upstream, step: PlanningStep): EngineModel | undefined {
    const domain = upstream.domain!;
    const loaded = modelOnAccelerator(upstream, step);
    const isFree = !step.groupTable.isInGroup(upstream.id);
    const shortest = shortestModel(domain, step);
    if (isFree && shortest !== undefined && shortest.name !== loaded && freeInDomain(domain, step).length > sparesToKeep(domain, step)) {
        return shortest;
    }
    const wanted = wantedHosts(domain, step);
    return fittingModels(domain, step)
        .filter(model => model.name !== loaded)
        .map(model => ({ model, lacking: (wanted.get(model.name) ?? 0) - countHosts(domain, model.name, step) }))
        .filter(({ lacking }) => lacking >= 0)
        .sort((a, b) => b.lacking - a.lacking)[0]?.model;
}

/** Whether a free VM waits for a load that would make it useful: it is empty, or it lacks the weights of the shortest model. */
function isWaitingForLoad(upstream: Upstream, shortest: EngineModel | undefined, step: PlanningStep): boolean {
    if (step.pendingLoads.has(upstream.id)) {
        return false;
    }
    const loaded = modelOnAccelerator(upstream, step);
    if (loaded === undefined && upstream.stagedModels.length === 0) {
        return true;
    }
    // A host that holds a model other than the one on the accelerator has no room.
    return shortest !== undefined && !holds(upstream, shortest, step) && upstream.stagedModels.every(staged => staged === loaded);
}

/** Returns how many more second models may be loaded onto VMs that serve. */
export function servingLoadsLeft(step: PlanningStep): number {
    const { engine, hasTraffic } = step.view;
    if (!hasTraffic || !engine.models.some(model => isShort(model, step))) {
        return engine.loadsAtOnce;
    }
    const isFreeWaiting = [...freeByDomain(step)].some(([domain, free]) => {
        const shortest = free.length > sparesToKeep(domain, step) ? shortestModel(domain, step) : undefined;
        return free.some(upstream => isWaitingForLoad(upstream, shortest, step));
    });
    const servingLoads = [...step.pendingLoads.keys()].filter(id => step.groupTable.isInGroup(id)).length;
    return isFreeWaiting ? 0 : Math.max(0, Math.floor(engine.loadsAtOnce * servingLoadShare) - servingLoads);
}

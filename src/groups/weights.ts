/**
 * Chooses which weights the hosts hold when plans are made for a shortage of capacity.
 *
 * Designed for a domain that restarts as a whole: its accelerators are empty then, and what it can serve within two seconds depends on the
 * weights on its hosts. If all of them hold one model, another model waits 12 to 16 s for loads while VMs stand idle. So the hosts of a
 * domain hold the weights for a group of each model.
 *
 * @module
 */

import type { Upstream } from "../fleet/index.js";
import type { EngineModel } from "../site/index.js";
import {
    fittingModels, freeByDomain, freeInDomain, includesFormerMember, modelOnAccelerator, type PlanningStep, readinessOf,
    sparesToKeep,
} from "./planningStep.js";
import { hasIdleBeyondSpares, isShort, shortestModel } from "./shortage.js";

/** The share of concurrent loads that second models of serving VMs may take while a model is short. */
const servingLoadShare = 0.5;

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

/** Returns the short model to load onto the host of a free VM whose accelerator holds another one; undefined if the VM is a spare. */
export function shortModelForFreeVm(upstream: Upstream, step: PlanningStep): EngineModel | undefined {
    const domain = upstream.domain!;
    if (step.groupTable.isInGroup(upstream.id) || freeInDomain(domain, step).length <= sparesToKeep(domain, step)) {
        return undefined;
    }
    const shortest = shortestModel(domain, step);
    return shortest === undefined || holds(upstream, shortest, step) ? undefined : shortest;
}

/**
 * Whether a VM's host may hold another model than now. It may not if the hosts of its domain could then no longer form a group of the
 * present one, unless the domain is too small for a group of each model. All others may: moves between models depend on second models.
 */
export function mayReplaceHostModel(upstream: Upstream, step: PlanningStep): boolean {
    const domain = upstream.domain!;
    const models = fittingModels(domain, step);
    const present = models.find(({ name }) => name === upstream.stagedModels[0]);
    const areAllPossible = models.reduce((sum, { size }) => sum + size, 0) <= step.usableByDomain.get(domain)!.length;
    return present === undefined || !areAllPossible || countHosts(domain, present.name, step) > present.size;
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
